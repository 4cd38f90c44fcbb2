package peer

import (
	"bufio"
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
)

func TestSharedKey(t *testing.T) {
	right := func(o *Options) { o.Key = []byte("right") }
	wrong := func(o *Options) { o.Key = []byte("wrong") }
	a, _ := newTestPair(t, right, right)
	_, err := a.Call(t.Context(), "b", kindEcho, []byte("x"))
	assert.NilError(t, err)
	for _, other := range []func(*Options){wrong, nil} {
		a, b := newTestPair(t, other, right)
		_, err = a.Call(t.Context(), "b", kindEcho, []byte("x"))
		assert.ErrorIs(t, err, ErrNotSent)
		_, err = b.Call(t.Context(), "a", kindEcho, []byte("x"))
		assert.ErrorIs(t, err, ErrNotSent)
	}
}

// An attacker on the network records an authentic frame, such as the release of a slot, and
// replays it on the same connection, on a later one, or back to its sender. The counter, the
// nonces or the direction must not match.
func TestRecordedFrameIsRefused(t *testing.T) {
	key := []byte("shared")
	d, acc := hello{From: "a", Nonce: []byte("d1")}, hello{From: "b", Nonce: []byte("a1")}
	var rec batch
	rec.add(newFrameEncoder(), header{typ: frameNotify, kind: KindSlots}, []byte("release"), tagSize)
	newFrameMAC(key, fromDialer, d, acc).seal(rec.buf)

	read := func(m *frameMAC, wire []byte) *session {
		set := newCounters(metrics.New())
		return &session{
			br: bufio.NewReader(bytes.NewReader(wire)), recv: m,
			maxFrame: 1 << 10, dec: newFrameDecoder(), count: &set,
		}
	}
	same := read(newFrameMAC(key, fromDialer, d, acc), append(rec.buf, rec.buf...))
	_, body, err := same.readFrame()
	assert.NilError(t, err)
	assert.Equal(t, string(body), "release")
	_, _, err = same.readFrame()
	assert.ErrorIs(t, err, errTag)

	later := hello{From: "b", Nonce: []byte("a2")}
	_, _, err = read(newFrameMAC(key, fromDialer, d, later), rec.buf).readFrame()
	assert.ErrorIs(t, err, errTag)
	_, _, err = read(newFrameMAC(key, fromAcceptor, d, acc), rec.buf).readFrame()
	assert.ErrorIs(t, err, errTag)
}

// testAuthority returns a TLS configuration for mutual authentication on 127.0.0.1 that
// trusts only its own self-signed certificate.
func testAuthority(t *testing.T) *tls.Config {
	t.Helper()
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, pub, priv)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: priv}},
		RootCAs:      pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func TestMutualTLS(t *testing.T) {
	trusted, stranger := testAuthority(t), testAuthority(t)
	with := func(cfg *tls.Config) func(*Options) { return func(o *Options) { o.TLS = cfg } }
	a, _ := newTestPair(t, with(trusted), with(trusted))
	got, err := a.Call(t.Context(), "b", kindEcho, []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "a:x")
	a, b := newTestPair(t, with(stranger), with(trusted))
	_, err = a.Call(t.Context(), "b", kindEcho, []byte("x"))
	assert.ErrorIs(t, err, ErrNotSent)
	_, err = b.Call(t.Context(), "a", kindEcho, []byte("x"))
	assert.ErrorIs(t, err, ErrNotSent)
}

func FuzzReadFrame(f *testing.F) {
	var b batch
	enc := newFrameEncoder()
	for _, h := range []header{
		{typ: frameRequest, kind: KindSlots, id: 1},
		{typ: frameNotify, kind: KindMembership},
		{typ: frameReply, kind: KindSlots, id: 1 << 40},
	} {
		b.add(enc, h, []byte("body"), 0)
		f.Add(append([]byte(nil), b.buf...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 4, 0xdd, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, wire []byte) {
		const limit = 1 << 10
		br := bufio.NewReader(bytes.NewReader(wire))
		dec, enc := newFrameDecoder(), newFrameEncoder()
		for {
			_, payload, err := readPayload(br, limit)
			if err != nil {
				return
			}
			h, body, err := dec.split(payload)
			if err != nil {
				return
			}
			assert.Assert(t, len(payload) <= limit && len(body) < len(payload))
			// A decoded frame must be unchanged after encoding and decoding it again.
			again := enc.append(nil, h, body, 0)
			h2, body2, err := dec.split(again[lengthSize:])
			assert.NilError(t, err)
			assert.Equal(t, h2, h)
			assert.Check(t, bytes.Equal(body2, body))
		}
	})
}

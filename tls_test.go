package cactusproxy_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"expvar"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a := &authority{t: t, dir: t.TempDir(), key: key}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("ca.pem", "CERTIFICATE", a.sign(a.cert, &key.PublicKey))
	return a
}

func (a *authority) sign(c *x509.Certificate, pub *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, pub, a.key)
	assert.NilError(a.t, err)
	return der
}

func (a *authority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(a.file(name), b, 0o600))
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// issue writes a key and a certificate for 127.0.0.1.
func (a *authority) issue(name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, DNSNames: []string{name},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &key.PublicKey)
	a.write(name+".pem", "CERTIFICATE", der)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	a.write(name+".key", "PRIVATE KEY", raw)
}

// startSecure starts a host with TLS on every listener, and mutual TLS between hosts.
func startSecure(t *testing.T, a *authority, s *store.Store, id string) *cactusproxy.Daemon {
	t.Helper()
	a.issue(id)
	cert, key, ca := a.file(id+".pem"), a.file(id+".key"), a.file("ca.pem")
	set, err := settings.Parse(id, fmt.Appendf(nil, `{
		"host": {"id": %[1]q, "zone": "a"},
		"callers": {"addr": "127.0.0.1:0", "tls": {"cert": %[2]q, "key": %[3]q}},
		"operators": {"addr": "127.0.0.1:0", "tls": {"cert": %[2]q, "key": %[3]q}},
		"peers": {"addr": "127.0.0.1:0", "tls": {"cert": %[2]q, "key": %[3]q, "clientCA": %[4]q}},
		"platform": {"url": "http://127.0.0.1:1"},
		"drain": {"notice": "1ms"},
	}`, id, cert, key, ca))
	assert.NilError(t, err)
	d, err := cactusproxy.New(set, cactusproxy.WithPlatform(cactusproxy.Platform{
		Table: s, Objects: s.Objects(), Hosts: s.Hosts(),
	}))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	s.ChangeHosts(func(list []ports.Host) []ports.Host {
		return append(list, ports.Host{
			ID: ports.HostID(id), Role: ports.RoleEntry, State: ports.HostLive,
			Zone: "a", Addr: d.CallersAddr(), PeerAddr: d.PeersAddr(),
		})
	})
	return d
}

func liveMembers(d *cactusproxy.Daemon) int { return len(d.Board().Members.Load().Eligible()) }

// waitUntil polls a condition without a limit of its own; go test's timeout applies.
func waitUntil(holds func() bool) {
	for !holds() {
		time.Sleep(5 * time.Millisecond)
	}
}

func TestHostsTalkOverMutualTLS(t *testing.T) {
	a := newAuthority(t)
	s := store.New(store.Limits{})
	one := startSecure(t, a, s, "entry-1")
	two := startSecure(t, a, s, "entry-2")
	waitUntil(func() bool { return framesIn(one) > 0 && framesIn(two) > 0 })
	assert.Equal(t, liveMembers(one), 2)

	pool := x509.NewCertPool()
	pool.AddCert(a.parsed())
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + one.CallersAddr() + "/nowhere")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.Header.Get("Cactusproxy-Reason"), "no-route")
	assert.Equal(t, one.Metrics().Map("answers_of_http").String(), "{}")

	conn, err := tls.Dial("tcp", one.CallersAddr(), &tls.Config{RootCAs: pool})
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n")
	assert.NilError(t, err)
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Check(t, strings.HasPrefix(string(got), "HTTP/1.1 404 "), "%s", got)
	assert.Equal(t, one.Metrics().Map("answers_of_http").String(), `{"encrypted": 1}`)
}

func (a *authority) parsed() *x509.Certificate {
	b, err := os.ReadFile(a.file("ca.pem"))
	assert.NilError(a.t, err)
	block, _ := pem.Decode(b)
	c, err := x509.ParseCertificate(block.Bytes)
	assert.NilError(a.t, err)
	return c
}

// framesIn returns the number of frames that a host received from other hosts.
func framesIn(d *cactusproxy.Daemon) int {
	return counterOf(d, "peer", "frames_in")
}

// Guards against accepting frames from peers outside the cluster: two hosts whose
// certificates come from different authorities must refuse each other's handshakes.
func TestHostOfAnotherAuthorityIsRefused(t *testing.T) {
	s := store.New(store.Limits{})
	one := startSecure(t, newAuthority(t), s, "entry-1")
	two := startSecure(t, newAuthority(t), s, "entry-2")
	waitUntil(func() bool {
		return counterOf(one, "peer", "handshake_failed") > 0 && counterOf(two, "peer", "handshake_failed") > 0
	})
	assert.Equal(t, framesIn(one), 0)
	assert.Equal(t, framesIn(two), 0)
}

func counterOf(d *cactusproxy.Daemon, name, key string) int {
	v, ok := d.Metrics().Map(name).Get(key).(*expvar.Int)
	if !ok {
		return 0
	}
	return int(v.Value())
}

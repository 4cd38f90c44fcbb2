package peer

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	protocolVersion  = 2
	maxHelloSize     = 1 << 10
	handshakeTimeout = 3 * time.Second
)

// hello is the first message that each end of a connection sends.
type hello struct {
	Version     int    `msgpack:"version"`
	From        HostID `msgpack:"from"`
	To          HostID `msgpack:"to"`
	Incarnation uint64 `msgpack:"incarnation"`
	Keyed       bool   `msgpack:"keyed"`
	Nonce       []byte `msgpack:"nonce"`
}

func (n *Node) newHello(to HostID) hello {
	h := hello{
		Version:     protocolVersion,
		From:        n.opts.Self,
		To:          to,
		Incarnation: n.opts.Incarnation,
		Keyed:       len(n.opts.Key) > 0,
		Nonce:       make([]byte, nonceSize),
	}
	_, _ = rand.Read(h.Nonce) // never fails
	return h
}

// check rejects a peer with another protocol version or identity. The address of a replaced
// host is soon reused: without the check of To, its successor would answer requests meant
// for its predecessor.
func (h hello) check(mine hello) error {
	switch {
	case h.Version != mine.Version:
		return errors.Newf("peer uses protocol version %d, want %d", h.Version, mine.Version)
	case h.To != mine.From:
		return errors.Newf("peer addressed host %q, but this is %q", h.To, mine.From)
	case mine.To != "" && h.From != mine.To:
		return errors.Newf("host %q answered, want %q", h.From, mine.To)
	case h.Keyed != mine.Keyed:
		return errors.New("only one end is configured with a shared key")
	case len(h.Nonce) != nonceSize:
		return errors.New("nonce has the wrong size")
	}
	return nil
}

func (n *Node) newSession(conn net.Conn) *session {
	_, overTLS := conn.(*tls.Conn)
	receivedAt := new(atomic.Int64)
	return &session{
		conn:            conn,
		receivedAt:      receivedAt,
		br:              bufio.NewReaderSize(receiptReader{Reader: conn, at: receivedAt}, readBufferSize),
		maxFrame:        n.opts.MaxFrame,
		dec:             newFrameDecoder(),
		count:           &n.count,
		writeCountExact: !overTLS,
	}
}

// dialHandshake performs the handshake on a connection that this host opened.
func (n *Node) dialHandshake(conn net.Conn, to HostID) (*session, error) {
	s := n.newSession(conn)
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	mine := n.newHello(to)
	if err := writeHello(conn, mine, nil); err != nil {
		return nil, err
	}
	theirs, raw, err := readHello(s.br)
	if err != nil {
		return nil, err
	}
	if err := theirs.check(mine); err != nil {
		return nil, err
	}
	s.peer = theirs
	if mine.Keyed {
		s.send = newFrameMAC(n.opts.Key, fromDialer, mine, theirs)
		s.recv = newFrameMAC(n.opts.Key, fromAcceptor, mine, theirs)
		if err := s.verifyHelloTag(raw); err != nil {
			return nil, err
		}
	}
	if err := s.writeFrame(header{typ: frameConfirm}, nil); err != nil {
		return nil, err
	}
	return s, conn.SetDeadline(time.Time{})
}

// acceptHandshake performs the handshake on a connection that a peer opened. Nothing that
// the peer sends reaches a handler before its first tag has been verified.
func (n *Node) acceptHandshake(ctx context.Context, conn net.Conn) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	if tc, ok := conn.(*tls.Conn); ok {
		if err := tc.HandshakeContext(ctx); err != nil {
			return nil, err
		}
	}
	s := n.newSession(conn)
	theirs, _, err := readHello(s.br)
	if err != nil {
		return nil, err
	}
	mine := n.newHello(theirs.From)
	if err := theirs.check(mine); err != nil {
		return nil, err
	}
	s.peer = theirs
	if mine.Keyed {
		s.send = newFrameMAC(n.opts.Key, fromAcceptor, theirs, mine)
		s.recv = newFrameMAC(n.opts.Key, fromDialer, theirs, mine)
	}
	if err := writeHello(conn, mine, s.send); err != nil {
		return nil, err
	}
	h, _, err := s.readFrame()
	if err != nil {
		return nil, err
	}
	if h.typ != frameConfirm {
		return nil, errors.Wrap(errFrame, "expected a handshake confirmation")
	}
	return s, conn.SetDeadline(time.Time{})
}

// verifyHelloTag verifies the tag that follows the acceptor's hello.
func (s *session) verifyHelloTag(raw []byte) error {
	if _, err := io.ReadFull(s.br, s.tag[:]); err != nil {
		return asUnexpectedEOF(err)
	}
	return s.recv.verify(nil, raw, s.tag[:])
}

// writeHello sends a hello, followed by its tag if m is not nil.
func writeHello(conn net.Conn, h hello, m *frameMAC) error {
	body, err := msgpack.Marshal(h)
	if err != nil {
		return err
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	out = append(out, body...)
	if m != nil {
		out = append(out, m.nextTag(body)...)
	}
	_, err = conn.Write(out)
	return errors.Wrap(err, "write peer hello")
}

func readHello(br *bufio.Reader) (hello, []byte, error) {
	var h hello
	_, raw, err := readPayload(br, maxHelloSize)
	if err != nil {
		return h, nil, err
	}
	if err := msgpack.Unmarshal(raw, &h); err != nil {
		return h, nil, errors.Wrap(errFrame, "hello")
	}
	return h, raw, nil
}

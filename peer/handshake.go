package peer

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	protocolVersion  = 2
	maxHello         = 1 << 10
	handshakeTimeout = 3 * time.Second
)

// hello is the first message of either end of a connection.
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

// check refuses an end that speaks otherwise or is not who was meant. An
// address is soon given to another host after a replacement; without the check
// of To, that host would answer requests meant for the one before it.
func (h hello) check(mine hello) error {
	switch {
	case h.Version != mine.Version:
		return errors.Newf("peer speaks version %d, not %d", h.Version, mine.Version)
	case h.To != mine.From:
		return errors.Newf("peer wants host %q, this is %q", h.To, mine.From)
	case mine.To != "" && h.From != mine.To:
		return errors.Newf("host %q answers in place of %q", h.From, mine.To)
	case h.Keyed != mine.Keyed:
		return errors.New("only one end has a shared key")
	case len(h.Nonce) != nonceSize:
		return errors.New("nonce has a wrong size")
	}
	return nil
}

func (n *Node) newSession(conn net.Conn) *session {
	_, overTLS := conn.(*tls.Conn)
	return &session{
		conn:     conn,
		br:       bufio.NewReaderSize(conn, readBufferSize),
		maxFrame: n.opts.MaxFrame,
		dec:      newFrameDecoder(),
		count:    &n.count,
		exact:    !overTLS,
	}
}

// dialHandshake makes a session of a connection that this host opened.
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
		if err := s.checkHello(raw); err != nil {
			return nil, err
		}
	}
	if err := s.writeFrame(header{typ: frameConfirm}, nil); err != nil {
		return nil, err
	}
	return s, conn.SetDeadline(time.Time{})
}

// acceptHandshake makes a session of a connection that a peer opened. Nothing
// the peer sends reaches a handler before its first tag was found right.
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
		return nil, errors.Wrap(errFrame, "no confirmation")
	}
	return s, conn.SetDeadline(time.Time{})
}

// checkHello verifies the tag that follows the acceptor's hello.
func (s *session) checkHello(raw []byte) error {
	if _, err := io.ReadFull(s.br, s.tag[:]); err != nil {
		return unexpected(err)
	}
	return s.recv.check(nil, raw, s.tag[:])
}

// writeHello sends a hello and, with a MAC, its tag.
func writeHello(conn net.Conn, h hello, m *frameMAC) error {
	body, err := msgpack.Marshal(h)
	if err != nil {
		return err
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	out = append(out, body...)
	if m != nil {
		out = append(out, m.next(body)...)
	}
	_, err = conn.Write(out)
	return errors.Wrap(err, "write peer hello")
}

func readHello(br *bufio.Reader) (hello, []byte, error) {
	var h hello
	_, raw, err := readPayload(br, maxHello)
	if err != nil {
		return h, nil, err
	}
	if err := msgpack.Unmarshal(raw, &h); err != nil {
		return h, nil, errors.Wrap(errFrame, "hello")
	}
	return h, raw, nil
}

package peer

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// streamChunk is the largest number of bytes in one frame of a stream.
const streamChunk = 16 << 10

// Streams opens streams to other entry hosts and accepts theirs. All methods are safe for
// concurrent use.
type Streams interface {
	// OpenStream opens a stream to a peer and returns once the peer's handler has accepted it.
	// Its errors are those of Link.Call.
	OpenStream(ctx context.Context, to HostID, kind Kind, body []byte) (*Stream, error)
	// HandleStream registers the handler of a kind. It must be called before the link starts to
	// serve.
	HandleStream(kind Kind, h StreamHandler)
}

var _ Streams = (*Node)(nil)

// StreamHandler handles a stream that a peer opens with body. It calls accept once, or returns an
// error, which reaches the opener as ErrRemote. The stream is closed when the handler returns,
// and ctx ends when the node is closed.
type StreamHandler func(ctx context.Context, from HostID, body []byte, accept func() (*Stream, error)) error

// Stream is a connection between two entry hosts that carries bytes in both directions. It has a
// TCP connection of its own, so that TCP bounds what is under way, and it shares the handshake
// and the authentication of each frame with messages. It is a net.Conn.
//
// The end of the bytes is a frame: a stream that breaks off is never mistaken for one that ended.
type Stream struct {
	net.Conn
	s *session

	// rest is the unread part of the last frame; only the reader uses it.
	rest []byte
	end  error

	write sync.Mutex
	enc   *frameEncoder
	out   batch

	mu       sync.Mutex
	retired  bool
	onRetire func()
	onNote   func([]byte)
}

func newStream(s *session) *Stream {
	return &Stream{Conn: s.conn, s: s, enc: newFrameEncoder()}
}

// HandleStream registers the handler of a kind of stream.
func (n *Node) HandleStream(kind Kind, h StreamHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := maps.Clone(*n.streams.Load())
	next[kind] = h
	n.streams.Store(&next)
}

// OpenStream opens a stream to a peer.
func (n *Node) OpenStream(ctx context.Context, to HostID, kind Kind, body []byte) (*Stream, error) {
	r := (*n.remotes.Load())[to]
	if r == nil {
		n.count.unknownPeer.Add(1)
		return nil, errUnknownPeer
	}
	s, err := r.dialSession(ctx)
	if err != nil {
		n.count.dialFailed.Add(1)
		return nil, newCallError(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	if err := s.open(kind, body); err != nil {
		_ = s.conn.Close()
		return nil, err
	}
	return newStream(s), nil
}

// open asks the peer to make the connection a stream, and waits for its reply.
func (s *session) open(kind Kind, body []byte) error {
	if err := s.writeFrame(header{typ: frameOpen, kind: kind}, body); err != nil {
		return newCallError(ErrNotSent, err)
	}
	h, reply, err := s.readFrame()
	switch {
	case err != nil:
		return newCallError(ErrNoReply, err)
	case h.typ == frameError:
		return newCallError(ErrRemote, remoteError(reply))
	case h.typ != frameReply:
		return newCallError(ErrNoReply, errors.Wrap(errFrame, "expected the reply to an open"))
	default:
		return nil
	}
}

// serveStream runs the handler of a stream that a peer opened.
func (n *Node) serveStream(ctx context.Context, s *session, h header, body []byte) {
	defer s.conn.Close()
	accepted := false
	accept := func() (*Stream, error) {
		accepted = true
		return newStream(s), s.writeFrame(header{typ: frameReply, kind: h.kind}, nil)
	}
	handler := (*n.streams.Load())[h.kind]
	err := errNoHandler
	if handler != nil {
		err = handler(ctx, s.peer.From, body, accept)
	}
	if err != nil && !accepted {
		_ = s.writeFrame(header{typ: frameError, kind: h.kind}, []byte(err.Error())) // the peer may be gone
	}
}

// Read implements net.Conn. It returns io.EOF only if the other end called CloseWrite, and
// io.ErrUnexpectedEOF if it called Abort.
func (t *Stream) Read(p []byte) (int, error) {
	for len(t.rest) == 0 {
		if t.end != nil {
			return 0, t.end
		}
		h, body, err := t.s.readFrame()
		t.rest, t.end = t.receive(h, body, asUnexpectedEOF(err))
	}
	n := copy(p, t.rest)
	t.rest = t.rest[n:]
	return n, nil
}

// receive handles a frame and returns the bytes to read and, if there are no more, the error.
func (t *Stream) receive(h header, body []byte, err error) ([]byte, error) {
	if err != nil {
		return nil, errors.Mark(err, ErrStreamLost)
	}
	switch h.typ {
	case frameData:
		return body, nil
	case frameNote:
		t.mu.Lock()
		f := t.onNote
		t.mu.Unlock()
		if f != nil {
			f(body)
		}
		return nil, nil
	case frameRetire:
		t.retire()
		return nil, nil
	case frameEnd:
		if len(body) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, io.EOF
	default:
		return nil, errors.Wrap(errFrame, "expected a frame of a stream")
	}
}

// Write implements net.Conn. It has no timeout of its own: a reader may be slow.
func (t *Stream) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), streamChunk)
		if err := t.send(frameData, p[:n]); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// brokenOff is the body of a frameEnd after which bytes are missing.
var brokenOff = []byte{1}

// Abort notifies the other end that the bytes broke off at their source, and closes the stream.
func (t *Stream) Abort() {
	_ = t.send(frameEnd, brokenOff) // the other end may be gone
	_ = t.Close()
}

// CloseWrite notifies the other end that no more bytes follow.
func (t *Stream) CloseWrite() error { return t.send(frameEnd, nil) }

// Note sends a message about what follows on the stream.
func (t *Stream) Note(body []byte) error { return t.send(frameNote, body) }

// OnNote sets the function that receives the other end's notes, in order with the bytes.
func (t *Stream) OnNote(f func(body []byte)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onNote = f
}

// Retire asks the opener of the stream not to start anything new on it.
func (t *Stream) Retire() error { return t.send(frameRetire, nil) }

// OnRetire sets a function that is called, once, when the other end retires the stream.
func (t *Stream) OnRetire(f func()) {
	t.mu.Lock()
	t.onRetire = f
	retired := t.retired
	t.mu.Unlock()
	if retired {
		go f()
	}
}

func (t *Stream) retire() {
	t.mu.Lock()
	f, first := t.onRetire, !t.retired
	t.retired = true
	t.mu.Unlock()
	if first && f != nil {
		go f() // it may wait for the reader, which is this goroutine
	}
}

// Retired reports whether the other end has retired the stream.
func (t *Stream) Retired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retired
}

// send writes one frame.
func (t *Stream) send(typ frameType, body []byte) error {
	t.write.Lock()
	defer t.write.Unlock()
	defer t.out.reset()
	t.out.add(t.enc, header{typ: typ}, body, t.s.tagLen())
	_, err := t.s.writeUntil(&t.out, time.Time{})
	if err != nil {
		return errors.Mark(err, ErrStreamLost)
	}
	return nil
}

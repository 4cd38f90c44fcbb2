package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

var (
	errBusy        = errors.New("peer runs too many handlers")
	errManyReplies = errors.New("peer has too many replies to send")
)

// serveInbound handles the messages of one inbound connection until it closes.
func (n *Node) serveInbound(conn net.Conn) {
	tuneConn(conn)
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := n.acceptHandshake(ctx, conn)
	if err != nil {
		_ = conn.Close()
		n.count.handshakeFailed.Add(1)
		n.opts.Log.Warn("peer handshake failed",
			zap.Stringer("remote", conn.RemoteAddr()), zap.Error(err))
		return
	}
	n.resetBackoff(s.peer.From)
	h, body, err := s.readFrame()
	if err == nil && h.typ == frameOpen {
		n.serveStream(ctx, s, h, body)
		return
	}
	in := newInbound(n, s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		in.write(ctx)
	}()
	if err == nil {
		err = in.handle(ctx, h, body)
	}
	if err == nil {
		err = in.read(ctx)
	}
	cancel()
	_ = conn.Close()
	<-done
	n.opts.Log.Debug("peer connection closed",
		zap.String("from", string(s.peer.From)), zap.Uint64("incarnation", s.peer.Incarnation), zap.Error(err))
}

// inbound is a connection that a peer opened.
type inbound struct {
	node *Node
	s    *session
	wake chan struct{}

	mu      sync.Mutex
	enc     *frameEncoder
	replies batch
	// closed is set once no more replies are sent.
	closed bool
}

func newInbound(n *Node, s *session) *inbound {
	return &inbound{node: n, s: s, wake: make(chan struct{}, 1), enc: newFrameEncoder()}
}

func (in *inbound) read(ctx context.Context) error {
	for {
		h, body, err := in.s.readFrame()
		if err != nil {
			if errors.Is(err, errFrame) || errors.Is(err, errTag) {
				in.node.count.frameRefused.Add(1)
			}
			return err
		}
		if err := in.handle(ctx, h, body); err != nil {
			return err
		}
	}
}

// handle starts the handler of a message.
func (in *inbound) handle(ctx context.Context, h header, body []byte) error {
	switch h.typ {
	case frameRequest, frameNotify:
		in.start(ctx, h, body)
		return nil
	default:
		in.node.count.frameRefused.Add(1)
		return errors.Wrap(errFrame, "expected a request or notification")
	}
}

// start runs the handler in a goroutine so that it does not block the reader: a request that
// waits for a slot must not delay the message behind it that releases the slot.
func (in *inbound) start(ctx context.Context, h header, body []byte) {
	n := in.node
	if n.executing.Add(1) > maxHandlers {
		n.executing.Add(-1)
		n.count.handlersBusy.Add(1)
		in.reply(h, nil, errBusy)
		return
	}
	go func() {
		defer n.executing.Add(-1)
		out, err := n.handle(ctx, in.s.peer.From, h.kind, body)
		if ctx.Err() != nil {
			return // the handler was canceled; its result is not a valid reply
		}
		in.reply(h, out, err)
	}()
}

func (in *inbound) reply(req header, body []byte, err error) {
	if req.typ == frameNotify {
		return
	}
	h := header{typ: frameReply, kind: req.kind, id: req.id}
	if err == nil && len(body) > in.node.maxBody() {
		in.node.count.tooLarge.Add(1)
		err = errTooLarge
	}
	if err != nil {
		h.typ = frameError
		body = []byte(err.Error())
		body = body[:min(len(body), in.node.maxBody())]
	}
	if exceedsQueues(&in.node.queuedReplies, len(body)) {
		in.node.count.repliesRefused.Add(1)
		h.typ, body = frameError, []byte(errManyReplies.Error())
	}
	in.mu.Lock()
	full := in.replies.full(len(body))
	if !full && !in.closed {
		before := len(in.replies.buf)
		in.replies.add(in.enc, h, body, in.s.tagLen())
		in.node.queuedReplies.Add(int64(len(in.replies.buf) - before))
	}
	in.mu.Unlock()
	if full {
		// The peer sends requests without reading the replies. Closing the connection fails its
		// pending calls; keeping the replies would use up this host's memory.
		in.node.count.replyQueueFull.Add(1)
		_ = in.s.conn.Close()
		return
	}
	signal(in.wake)
}

// write sends replies until the connection closes.
func (in *inbound) write(ctx context.Context) {
	var b batch
	defer func() { in.discard(&b) }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.wake:
		}
		in.mu.Lock()
		b, in.replies = in.replies, b
		in.mu.Unlock()
		if len(b.frames) == 0 {
			continue
		}
		if _, err := in.s.writeBatch(&b); err != nil {
			_ = in.s.conn.Close()
			return
		}
		in.node.queuedReplies.Add(-int64(len(b.buf)))
		b.reset()
	}
}

// discard frees what is left in the queue and in the batch that could not be sent.
func (in *inbound) discard(b *batch) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.node.queuedReplies.Add(-int64(len(b.buf) + len(in.replies.buf)))
	b.reset()
	in.replies.reset()
	in.closed = true
}

// signal wakes the writer of a queue without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// Reasons why a message was dropped before any byte of it was sent.
var (
	errUnknownPeer = newCallError(ErrNotSent, errors.New("peer is not known"))
	errBackingOff  = newCallError(ErrNotSent, errors.New("peer can not be reached at the moment"))
	errQueueFull   = newCallError(ErrNotSent, errors.New("queue to peer is full"))
	errTooLarge    = newCallError(ErrNotSent, errors.New("message is over the largest frame"))
	errConnLost    = newCallError(ErrNotSent, errors.New("connection broke before the request"))
)

// maxHeader is the largest encoded header, in bytes: a msgpack array of three unsigned
// integers with their type bytes.
const maxHeader = 1 + 2 + 3 + 9

// maxBody returns the largest body that fits into a frame, in bytes.
func (n *Node) maxBody() int { return n.opts.MaxFrame - maxHeader }

// tagLen returns the size of the tag of each frame, in bytes; 0 without a shared key.
func (n *Node) tagLen() int {
	if len(n.opts.Key) == 0 {
		return 0
	}
	return tagSize
}

// result is the outcome of a call.
type result struct {
	body []byte
	err  error
}

// call is a request that is waiting for its reply.
type call struct {
	sent bool // the writer has taken the frame from the queue
	done chan result
}

var callPool = sync.Pool{New: func() any { return &call{done: make(chan result, 1)} }}

// remote is the sending side of a node for one peer: the queue of frames, the pending calls
// and at most one connection. Its goroutine runs only while there is something to send. Most
// hosts send to few of the others, and hundreds of idle goroutine stacks would take
// megabytes.
type remote struct {
	node    *Node
	id      HostID
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	backoff *backoff.ExponentialBackOff

	mu   sync.Mutex
	addr string
	// running is set while a goroutine serves the remote.
	running bool
	enc     *frameEncoder
	queue   batch
	pending map[uint64]*call
	lastID  uint64
	// nextDialAfter is the earliest time of the next connection attempt.
	nextDialAfter time.Time
	// unreachableSince is when the connection was lost or could not be opened; zero once a
	// connection has been opened again.
	unreachableSince time.Time
	closed           bool

	// next is the connection that replaces one that stalled. Only the goroutine that serves the
	// remote uses it.
	next *session
}

func newRemote(n *Node, id HostID) *remote {
	r := &remote{
		node:    n,
		id:      id,
		wake:    make(chan struct{}, 1),
		backoff: backoff.NewExponentialBackOff(),
	}
	r.backoff.InitialInterval = initialBackoff
	r.backoff.MaxInterval = maxBackoff
	r.ctx, r.stop = context.WithCancel(n.ctx)
	return r
}

func (r *remote) setAddr(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr != addr {
		r.addr = addr
		r.nextDialAfter = time.Time{}
	}
}

// resetBackoff allows a connection attempt to a peer at once, because the peer has just
// connected to this host.
func (n *Node) resetBackoff(id HostID) {
	r := (*n.remotes.Load())[id]
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextDialAfter = time.Time{}
}

// UnreachableFor returns for how long no connection to a peer could be opened, or 0 if the
// last attempt succeeded. It is meaningful only while messages are sent to the peer
// continuously.
func (n *Node) UnreachableFor(id HostID) time.Duration {
	r := (*n.remotes.Load())[id]
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachableSince.IsZero() {
		return 0
	}
	return time.Since(r.unreachableSince)
}

// retire closes the remote after a grace period for pending replies.
func (r *remote) retire() { time.AfterFunc(retireGracePeriod, r.stop) }

// call sends a request and waits for its reply.
func (r *remote) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	c := callPool.Get().(*call)
	c.sent = false
	id, err := r.enqueue(frameRequest, kind, body, c)
	if err != nil {
		callPool.Put(c)
		return nil, err
	}
	select {
	case res := <-c.done:
		callPool.Put(c)
		return res.body, res.err
	case <-ctx.Done():
		return r.abandon(ctx, id, c)
	}
}

// abandon ends a call whose context has ended. A frame that the writer has not taken from
// the queue is never written, so ErrNotSent is accurate.
func (r *remote) abandon(ctx context.Context, id uint64, c *call) ([]byte, error) {
	r.mu.Lock()
	_, waiting := r.pending[id]
	delete(r.pending, id)
	r.mu.Unlock()
	if !waiting {
		res := <-c.done
		callPool.Put(c)
		return res.body, res.err
	}
	kind := ErrNotSent
	if c.sent {
		kind = ErrNoReply
	}
	callPool.Put(c)
	return nil, newCallError(kind, ctx.Err())
}

func (r *remote) notify(kind Kind, body []byte) error {
	_, err := r.enqueue(frameNotify, kind, body, nil)
	return err
}

// enqueue copies a frame into the queue and wakes the writer.
func (r *remote) enqueue(typ frameType, kind Kind, body []byte, c *call) (uint64, error) {
	if len(body) > r.node.maxBody() {
		r.node.count.tooLarge.Add(1)
		return 0, errTooLarge
	}
	r.mu.Lock()
	id, err := r.enqueueLocked(typ, kind, body, c)
	startRun := err == nil && !r.running
	r.running = r.running || startRun
	r.mu.Unlock()
	if startRun {
		r.node.start(r)
	}
	if err == nil {
		signal(r.wake)
	}
	return id, err
}

func (r *remote) enqueueLocked(typ frameType, kind Kind, body []byte, c *call) (uint64, error) {
	if r.closed || r.ctx.Err() != nil {
		return 0, errUnknownPeer
	}
	if !r.nextDialAfter.IsZero() && time.Now().Before(r.nextDialAfter) {
		r.node.count.backingOff.Add(1)
		return 0, errBackingOff
	}
	if r.queue.full(len(body)) {
		r.node.count.queueFull.Add(1)
		return 0, errQueueFull
	}
	if exceedsQueues(&r.node.queuedMessages, len(body)) {
		r.node.count.framesRefused.Add(1)
		return 0, errQueueFull
	}
	if r.enc == nil {
		r.enc, r.pending = newFrameEncoder(), make(map[uint64]*call)
	}
	var id uint64
	if c != nil {
		r.lastID++
		id = r.lastID
		r.pending[id] = c
	}
	before := len(r.queue.buf)
	r.queue.add(r.enc, header{typ: typ, kind: kind, id: id}, body, r.node.tagLen())
	r.node.queuedMessages.Add(int64(len(r.queue.buf) - before))
	return id, nil
}

// serve writes the queue and reads replies. It returns nil if the connection was idle.
func (r *remote) serve(s *session) error {
	stop := context.AfterFunc(r.ctx, func() { _ = s.conn.Close() })
	defer stop()
	read := make(chan error, 1)
	go func() { read <- r.readReplies(s) }()
	err, reading := r.writeQueue(s, read)
	_ = s.conn.Close()
	if reading {
		<-read
	}
	return err
}

// writeQueue writes frames until the connection ends. The result reading tells whether the
// reader is still running.
func (r *remote) writeQueue(s *session, read <-chan error) (err error, reading bool) {
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	stall := newStallDetector(r, s)
	defer stall.end()
	used := true
	var b batch
	for {
		if r.takeQueue(&b) {
			used = true
			n, err := s.writeBatch(&b)
			r.node.queuedMessages.Add(-int64(len(b.buf)))
			if err != nil {
				r.failUnsent(&b, n)
				return err, true
			}
			b.reset()
			stall.sent(time.Now())
		}
		select {
		case <-r.ctx.Done():
			return r.ctx.Err(), true
		case err := <-read:
			return err, false
		case <-r.wake:
		case now := <-stall.due.C:
			stall.check(now)
		case other := <-stall.opened:
			if stall.replaced(other) {
				return errStalled, true
			}
		case <-idle.C:
			if !used && !r.waiting() {
				return nil, true
			}
			used = false
		}
	}
}

// waiting reports whether any call has no reply yet.
func (r *remote) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0
}

// takeQueue moves the queue into b, drops the frames of abandoned calls, and reports whether
// there is anything to write.
func (r *remote) takeQueue(b *batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	*b, r.queue = r.queue, *b
	abandoned := false
	for _, f := range b.frames {
		if f.id == 0 {
			continue
		}
		if c := r.pending[f.id]; c != nil {
			c.sent = true
		} else {
			abandoned = true
		}
	}
	if abandoned {
		before := len(b.buf)
		b.remove(func(f frameRange) bool { return f.id != 0 && r.pending[f.id] == nil })
		r.node.queuedMessages.Add(int64(len(b.buf) - before))
	}
	return len(b.frames) > 0
}

func (r *remote) readReplies(s *session) error {
	for {
		h, body, err := s.readFrame()
		if err != nil {
			return err
		}
		switch h.typ {
		case frameReply:
			r.finish(h.id, result{body: body})
		case frameError:
			r.finish(h.id, result{err: newCallError(ErrRemote, remoteError(body))})
		default:
			r.node.count.frameRefused.Add(1)
			return errors.Wrap(errFrame, "expected a reply")
		}
	}
}

// finish completes a call. A reply to an abandoned call is dropped.
func (r *remote) finish(id uint64, res result) {
	r.mu.Lock()
	c := r.pending[id]
	delete(r.pending, id)
	r.mu.Unlock()
	if c == nil {
		r.node.count.lateReply.Add(1)
		return
	}
	c.done <- res
}

// failUnsent fails the calls of a partial write whose frames start after the n bytes
// written.
func (r *remote) failUnsent(b *batch, n int) {
	for _, f := range b.frames {
		if f.id != 0 && f.start >= n {
			r.finish(f.id, result{err: errConnLost})
		}
	}
}

// connFailed fails all calls after the connection was lost or could not be opened, and
// delays the next attempt. Until then, calls fail with ErrNotSent at once instead of waiting
// for a host that is probably down.
func (r *remote) connFailed(cause error) {
	now := time.Now()
	r.mu.Lock()
	r.nextDialAfter = now.Add(r.backoff.NextBackOff())
	if r.unreachableSince.IsZero() {
		r.unreachableSince = now
	}
	r.mu.Unlock()
	r.failAll(cause)
}

func (r *remote) failAll(cause error) {
	r.mu.Lock()
	failedCalls := r.pending
	r.pending = make(map[uint64]*call)
	r.node.queuedMessages.Add(-int64(len(r.queue.buf)))
	r.queue.reset()
	r.mu.Unlock()
	for _, c := range failedCalls {
		kind := ErrNotSent
		if c.sent {
			kind = ErrNoReply
		}
		c.done <- result{err: newCallError(kind, cause)}
	}
}

func (r *remote) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.failAll(context.Canceled)
}

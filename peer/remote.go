package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// What stops a message before any byte of it left.
var (
	errNoPeer     = failed(ErrNotSent, errors.New("peer is not known"))
	errBackingOff = failed(ErrNotSent, errors.New("peer can not be reached at the moment"))
	errQueueFull  = failed(ErrNotSent, errors.New("queue to peer is full"))
	errTooLarge   = failed(ErrNotSent, errors.New("message is over the largest frame"))
	errBrokeFirst = failed(ErrNotSent, errors.New("connection broke before the request"))
)

// maxHeader is the most that a header takes: an array of three unsigned
// integers with their marks.
const maxHeader = 1 + 2 + 3 + 9

// maxBody is the largest body that fits a frame.
func (n *Node) maxBody() int { return n.opts.MaxFrame - maxHeader }

// tagLen is the room left for the tag of each frame.
func (n *Node) tagLen() int {
	if len(n.opts.Key) == 0 {
		return 0
	}
	return tagSize
}

// result ends a call.
type result struct {
	body []byte
	err  error
}

// call is a request that has no reply yet.
type call struct {
	sent bool // the writer has taken the frame
	done chan result
}

var calls = sync.Pool{New: func() any { return &call{done: make(chan result, 1)} }}

// remote is what a node keeps for one peer: the queue of frames, the calls
// without a reply, and at most one connection. One goroutine runs it while there is anything
// to send: most hosts send to few of the others, and hundreds of idle stacks are megabytes.
type remote struct {
	node *Node
	id   HostID
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}
	wait *backoff.ExponentialBackOff

	mu   sync.Mutex
	addr string
	// running is set while a goroutine runs the remote.
	running bool
	enc     *frameEncoder
	out     batch
	pending map[uint64]*call
	lastID  uint64
	// notBefore is the earliest time of the next attempt to connect.
	notBefore time.Time
	// downSince is when the connection broke or could not be opened, if none could be
	// opened since.
	downSince time.Time
	closed    bool
}

func newRemote(n *Node, id HostID) *remote {
	r := &remote{
		node: n,
		id:   id,
		wake: make(chan struct{}, 1),
		wait: backoff.NewExponentialBackOff(),
	}
	r.wait.InitialInterval = firstBackoff
	r.wait.MaxInterval = maxBackoff
	r.ctx, r.stop = context.WithCancel(n.ctx)
	return r
}

func (r *remote) setAddr(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr != addr {
		r.addr = addr
		r.notBefore = time.Time{}
	}
}

// heardFrom ends the wait for the next attempt to connect to a peer that has
// just connected here: it is back.
func (n *Node) heardFrom(id HostID) {
	r := (*n.remotes.Load())[id]
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notBefore = time.Time{}
}

// UnreachableFor returns for how long no connection to a peer could be opened; 0 if the
// last try succeeded. It says something only while messages are sent there all the time.
func (n *Node) UnreachableFor(id HostID) time.Duration {
	r := (*n.remotes.Load())[id]
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.downSince.IsZero() {
		return 0
	}
	return time.Since(r.downSince)
}

// retire ends the remote after the replies that are owed had time to come.
func (r *remote) retire() { time.AfterFunc(retireLinger, r.stop) }

// call sends a request and waits for its reply.
func (r *remote) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	c := calls.Get().(*call)
	c.sent = false
	id, err := r.enqueue(frameRequest, kind, body, c)
	if err != nil {
		calls.Put(c)
		return nil, err
	}
	select {
	case res := <-c.done:
		calls.Put(c)
		return res.body, res.err
	case <-ctx.Done():
		return r.abandon(ctx, id, c)
	}
}

// abandon ends a call whose caller stops waiting. A frame that the writer has
// not taken is never written, which is what makes ErrNotSent true.
func (r *remote) abandon(ctx context.Context, id uint64, c *call) ([]byte, error) {
	r.mu.Lock()
	_, waiting := r.pending[id]
	delete(r.pending, id)
	r.mu.Unlock()
	if !waiting {
		res := <-c.done
		calls.Put(c)
		return res.body, res.err
	}
	kind := ErrNotSent
	if c.sent {
		kind = ErrNoReply
	}
	calls.Put(c)
	return nil, failed(kind, ctx.Err())
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
	starts := err == nil && !r.running
	r.running = r.running || starts
	r.mu.Unlock()
	if starts {
		r.node.start(r)
	}
	if err == nil {
		wakeUp(r.wake)
	}
	return id, err
}

func (r *remote) enqueueLocked(typ frameType, kind Kind, body []byte, c *call) (uint64, error) {
	if r.closed || r.ctx.Err() != nil {
		return 0, errNoPeer
	}
	if !r.notBefore.IsZero() && time.Now().Before(r.notBefore) {
		r.node.count.backingOff.Add(1)
		return 0, errBackingOff
	}
	if r.out.full(len(body)) {
		r.node.count.queueFull.Add(1)
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
	r.out.add(r.enc, header{typ: typ, kind: kind, id: id}, body, r.node.tagLen())
	return id, nil
}

// serve writes the queue and reads replies. It returns nil if the connection
// was unused for a while.
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

// writeQueue runs until the connection ends; reading tells whether the reader
// still runs.
func (r *remote) writeQueue(s *session, read <-chan error) (err error, reading bool) {
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	used := true
	var b batch
	for {
		if r.take(&b) {
			used = true
			if n, err := s.writeBatch(&b); err != nil {
				r.failUnsent(&b, n)
				return err, true
			}
			b.reset()
		}
		select {
		case <-r.ctx.Done():
			return r.ctx.Err(), true
		case err := <-read:
			return err, false
		case <-r.wake:
		case <-idle.C:
			if !used && !r.waiting() {
				return nil, true
			}
			used = false
		}
	}
}

// waiting reports whether a call has no reply yet.
func (r *remote) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0
}

// take moves the queue into b, without the frames of calls that were given up,
// and reports whether there is anything to write.
func (r *remote) take(b *batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	*b, r.out = r.out, *b
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
		b.remove(func(f span) bool { return f.id != 0 && r.pending[f.id] == nil })
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
			r.finish(h.id, result{err: failed(ErrRemote, remoteText(body))})
		default:
			r.node.count.frameRefused.Add(1)
			return errors.Wrap(errFrame, "not a reply")
		}
	}
}

// finish ends a call. A reply to a call that was given up is dropped.
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

// failUnsent ends the calls of a broken write that begin past the n bytes that
// left.
func (r *remote) failUnsent(b *batch, n int) {
	for _, f := range b.frames {
		if f.id != 0 && f.start >= n {
			r.finish(f.id, result{err: errBrokeFirst})
		}
	}
}

// broken ends all calls after the connection was lost or not made, and puts off
// the next attempt. Calls that come before it get ErrNotSent at once in place
// of waiting for a host that is probably gone.
func (r *remote) broken(cause error) {
	now := time.Now()
	r.mu.Lock()
	r.notBefore = now.Add(r.wait.NextBackOff())
	if r.downSince.IsZero() {
		r.downSince = now
	}
	r.mu.Unlock()
	r.failAll(cause)
}

func (r *remote) failAll(cause error) {
	r.mu.Lock()
	lost := r.pending
	r.pending = make(map[uint64]*call)
	r.out.reset()
	r.mu.Unlock()
	for _, c := range lost {
		kind := ErrNotSent
		if c.sent {
			kind = ErrNoReply
		}
		c.done <- result{err: failed(kind, cause)}
	}
}

func (r *remote) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.failAll(context.Canceled)
}

package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// closePollInterval is the interval at which a connection from which nothing is read for now is checked
// for a close by the caller. Requests at targets have to be canceled within half a second.
const closePollInterval = 100 * time.Millisecond

// readPipelined is Read while bytes are withheld or requests run ahead. It reads from the caller and
// starts requests until the server may have a request, or has to know that the caller is gone.
// c.mu is held.
func (c *Conn) readPipelined(p []byte) (int, error) {
	idleFor := c.idleTimeout()
	for {
		switch {
		case c.closed || c.closing:
			c.releaseHeld()
			return 0, net.ErrClosed
		case c.deliver > 0:
			return c.deliverHeld(p), nil
		case c.state == whole && len(p) == 1:
			if c.gone {
				return 0, io.EOF
			}
			if c.expired() {
				return 0, os.ErrDeadlineExceeded
			}
			if c.stashed && c.returned {
				c.await() // the response is almost complete, so nothing runs ahead
				continue
			}
			if c.stashed && !c.withhold([]byte{c.stash}) {
				c.state = opaque
				continue
			}
			c.stashed = false
		case c.state != idle:
			// The server wants more for the current request than was taken for it.
			c.state = opaque
			if c.stashed {
				p[0], c.stashed = c.stash, false
				return 1, nil
			}
			if c.held == nil {
				return c.readThrough(p)
			}
			c.deliver = len(c.held.bytes())
			continue
		case len(c.queue) == 0:
			return c.readNext(p, idleFor)
		}
		c.startAhead()
		c.readMore()
	}
}

// idleTimeout returns how long the server waits for the next request; 0 without a limit.
func (c *Conn) idleTimeout() time.Duration {
	if c.readDeadline.IsZero() {
		return 0
	}
	return time.Until(c.readDeadline)
}

func (c *Conn) expired() bool {
	return !c.readDeadline.IsZero() && !c.readDeadline.After(time.Now())
}

// readNext returns the next request to the server once everything before it is answered.
func (c *Conn) readNext(p []byte, idleFor time.Duration) (int, error) {
	if c.held != nil && len(c.held.bytes()) > 0 {
		c.takeNext(len(p))
		return c.deliverHeld(p), nil
	}
	c.releaseHeld()
	if c.stashed {
		return c.readAfterStash(p)
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	if idleFor != 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(idleFor)) // if it fails, so does the read
	}
	return c.readThrough(p)
}

// readAfterStash returns the stashed byte, which begins a request, with what follows it.
func (c *Conn) readAfterStash(p []byte) (int, error) {
	p[0], c.stashed = c.stash, false
	c.mu.Unlock()
	n, err := c.Conn.Read(p[1:])
	c.mu.Lock()
	if err != nil {
		c.state = opaque // the next read returns the error again
		return 1, nil
	}
	return c.received(p, n+1, nil)
}

// readThrough reads without pipelining.
func (c *Conn) readThrough(p []byte) (int, error) {
	c.mu.Unlock()
	n, err := c.Read(p)
	c.mu.Lock()
	return n, err
}

// takeNext chooses how many of the withheld bytes the server gets as its next request.
func (c *Conn) takeNext(serverBuffer int) {
	b := c.held.bytes()
	s := c.first()
	c.next, c.bound = nil, false
	c.pipeline.count.waited.Add(1)
	switch {
	case serverBuffer != c.serverBuffer:
		c.state = opaque
	case (s.form == plain || s.form == single) && s.length <= len(b):
		c.setWhole(s.body)
		c.deliver = s.length
		return
	case s.form == incomplete && isGetOrHead(b):
		c.state, c.scan = partial, headerScan{}
		c.scan.end(b)
	default:
		c.state = opaque
	}
	c.deliver = len(b)
}

// deliverHeld returns withheld bytes to the server.
func (c *Conn) deliverHeld(p []byte) int {
	n := copy(p, c.held.bytes()[:c.deliver])
	c.held.discard(n)
	c.deliver -= n
	if c.deliver == 0 && len(c.held.bytes()) == 0 {
		c.releaseHeld()
	}
	return n
}

// first returns the first request of the withheld bytes.
func (c *Conn) first() *split {
	if c.next == nil || c.next.form == incomplete {
		s := split{form: incomplete}
		if c.held != nil {
			s = splitFirst(c.held.bytes()[c.deliver:])
		}
		c.next = &s
	}
	return c.next
}

// readMore reads from the caller unless a request waits already, and otherwise waits until something
// has changed.
func (c *Conn) readMore() {
	if !c.gone && !c.sealed && c.first().form == incomplete {
		if c.held == nil {
			c.held = newHeld(c.pipeline.limits.memory, minHeld)
		}
		if c.held != nil {
			if space := c.held.space(); len(space) > 0 {
				c.readHeld(space)
				return
			}
		}
	}
	c.await()
}

// readHeld reads more bytes from the caller to the withheld ones.
func (c *Conn) readHeld(space []byte) {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(space)
	c.mu.Lock()
	c.reading = false
	c.held.w += n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
		c.cancelAll()
		return
	}
	if c.state == idle && (err != nil || c.interrupted) {
		// The server's idle timeout doesn't apply while requests run, and begins when they end.
		_ = c.Conn.SetReadDeadline(time.Time{}) // if it fails, so does the next read
	}
	c.interrupted = false
}

// interrupt ends a read to held after the last response, so that its memory is released.
func (c *Conn) interrupt() {
	if c.reading && c.state == idle && len(c.queue) == 0 {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // if it fails, so does the read
	}
}

// await waits until something has changed. The caller's close is noticed although nothing is read.
func (c *Conn) await() {
	c.ensureWake()
	if c.poll == nil {
		c.poll = time.NewTimer(closePollInterval)
	} else {
		c.poll.Reset(closePollInterval)
	}
	c.mu.Unlock()
	polled := false
	select {
	case <-c.wake:
	case <-c.poll.C:
		polled = true
	}
	c.mu.Lock()
	c.poll.Stop()
	if polled && !c.gone && !c.closed && closedByPeer(c.Conn) {
		c.cancelAll()
	}
}

func (c *Conn) ensureWake() {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
}

// signal makes readPipelined check the state again.
func (c *Conn) signal() {
	if c.wake == nil {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withhold keeps bytes from the server. It returns false if there is no memory for them.
func (c *Conn) withhold(b []byte) bool {
	h := newHeld(c.pipeline.limits.memory, len(b))
	if h == nil {
		c.pipeline.count.boundMemory.Add(1)
		return false
	}
	h.append(b)
	c.held, c.next, c.bound = h, nil, false
	return true
}

// releaseHeld releases the buffer of withheld bytes, unless a read to it is in progress.
func (c *Conn) releaseHeld() {
	if c.held == nil || c.reading {
		return
	}
	c.held.release()
	c.held, c.next, c.deliver = nil, nil, 0
}

package pipeline

import (
	"bytes"
	"io"
	"net"
	"slices"
	"time"
)

// lingerTimeout is how long a connection is read from after its last response, so that the caller
// receives the response and not a connection reset because of requests that were not read.
const lingerTimeout = 500 * time.Millisecond

// startAhead starts withheld requests as long as they may run ahead. c.mu is held.
func (c *Conn) startAhead() {
	for c.mayStart() {
		s := c.first()
		if s.form != plain || c.bound || !c.pipeline.opts.MayRunAhead(s.request) || !c.start(s) {
			return
		}
	}
}

// mayStart reports whether the state of the connection allows the next request to run ahead.
func (c *Conn) mayStart() bool {
	if c.sealed || c.closed || c.gone || c.held == nil || c.deliver > 0 || c.pipeline.draining.Load() {
		return false
	}
	return c.state == idle && len(c.queue) > 0 || c.state == whole && c.begun && c.overtakable
}

// start starts a request on an in-memory connection. It returns false if a limit is reached.
func (c *Conn) start(s *split) bool {
	p := c.pipeline
	if len(c.queue) >= p.opts.PerConnection {
		p.count.boundConnection.Add(1)
		c.bound = true
		return false
	}
	if !p.limits.takeRequest() {
		p.count.boundHost.Add(1)
		c.bound = true
		return false
	}
	a := &aheadConn{conn: c, unread: bytes.Clone(c.held.bytes()[:s.length]), cost: int64(s.length) + aheadOverhead}
	if !p.limits.memory.TryAcquire(a.cost) {
		p.limits.returnRequest()
		p.count.boundMemory.Add(1)
		c.bound = true
		return false
	}
	a.changed.L = &c.mu
	select {
	case p.started <- a:
	default: // the server is slow to accept
		p.limits.returnRequest()
		p.limits.memory.Release(a.cost)
		p.count.boundHost.Add(1)
		c.bound = true
		return false
	}
	p.count.ahead.Add(1)
	c.queue = append(c.queue, a)
	if len(c.queue) == 1 {
		p.setActive(c, true)
	}
	c.held.discard(s.length)
	c.next = nil
	return true
}

// giveTurn lets the first request that runs ahead write its response if the one before it is
// answered. c.mu is held.
func (c *Conn) giveTurn() {
	c.bound = false
	if c.state != idle || len(c.queue) == 0 {
		return
	}
	first := c.queue[0]
	first.turn = true
	first.changed.Broadcast()
	if first.closed {
		_ = c.breakOff(false) // it broke off before its turn
	}
}

// answered removes the first request that runs ahead after its response was written.
func (c *Conn) answered(a *aheadConn) {
	a.done = true
	c.remove(a)
	c.queue = slices.Delete(c.queue, 0, 1)
	if len(c.queue) == 0 {
		c.pipeline.setActive(c, false)
		if c.closing {
			_ = c.breakOff(true)
		}
	}
	c.giveTurn()
	c.startAhead()
	c.signal()
}

// dropBehind cancels the requests behind the one with this index in the queue.
func (c *Conn) dropBehind(i int) {
	c.sealed = true
	for _, a := range c.queue[i+1:] {
		a.dropped = true
		c.remove(a)
		if !c.gone { // else it was counted then
			c.pipeline.count.dropped.Add(1)
		}
	}
	c.queue = slices.Delete(c.queue, i+1, len(c.queue))
	if len(c.queue) == 0 {
		c.pipeline.setActive(c, false)
	}
	c.signal()
}

// remove returns what a request that ran ahead has taken of the limits, and wakes its goroutines.
func (c *Conn) remove(a *aheadConn) {
	l := &c.pipeline.limits
	l.returnRequest()
	l.memory.Release(a.cost)
	if a.returned {
		c.pipeline.undelivered.Add(-1)
	}
	a.changed.Broadcast()
}

// cancelAll cancels the requests that run, because the caller has closed its side of the connection.
// net/http does that as well, and writes the responses nevertheless.
func (c *Conn) cancelAll() {
	c.gone = true
	for _, a := range c.queue {
		c.pipeline.count.dropped.Add(1)
		a.changed.Broadcast()
	}
}

// breakOff closes the caller's connection and cancels what runs on it. If its last response is
// complete, unread requests must not lead to a reset that destroys the response.
func (c *Conn) breakOff(complete bool) error {
	if c.closed {
		return nil
	}
	c.closed = true
	unread := c.held != nil
	c.dropBehind(-1)
	c.releaseHeld()
	if complete && (unread || c.wake != nil) {
		go linger(c.Conn)
		return nil
	}
	return c.Conn.Close()
}

// linger closes a connection after the caller has had time to receive the last response.
func linger(nc net.Conn) {
	defer nc.Close()
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if nc.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, nc)
	}
}

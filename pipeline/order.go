package pipeline

import (
	"expvar"
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
		return c.wait(s, p.count.boundConnection)
	}
	if !p.limits.takeRequest() {
		return c.wait(s, p.count.boundHost)
	}
	length := int64(s.length)
	if !p.limits.memory.TryAcquire(length) {
		p.limits.returnRequest()
		return c.wait(s, p.count.boundMemory)
	}
	a, bound := c.aheadConn()
	if a == nil {
		p.limits.returnRequest()
		p.limits.memory.Release(length)
		return c.wait(s, bound)
	}
	a.unread, a.length = append(a.unread[:0], c.held.bytes()[:s.length]...), length
	a.changed.Broadcast()
	p.count.ahead.Add(1)
	c.queue = append(c.queue, a)
	if len(c.queue) == 1 {
		p.setActive(c, true)
	}
	c.held.discard(s.length)
	c.next = nil
	return true
}

// wait keeps the next request from running ahead because of a limit, until another one of the
// connection is answered.
func (c *Conn) wait(s *split, limit *expvar.Int) bool {
	if !s.counted {
		limit.Add(1)
	}
	s.counted, c.bound = true, true
	return false
}

// aheadConn returns an in-memory connection for a request, or nil and the limit that is reached.
func (c *Conn) aheadConn() (*aheadConn, *expvar.Int) {
	if n := len(c.spares); n > 0 {
		a := c.spares[n-1]
		c.spares = c.spares[:n-1]
		a.spare = false
		return a, nil
	}
	p := c.pipeline
	if !p.limits.memory.TryAcquire(aheadOverhead) {
		return nil, p.count.boundMemory
	}
	a := &aheadConn{conn: c}
	a.changed.L = &c.mu
	select {
	case p.started <- a:
		return a, nil
	default: // the server is slow to accept
		p.limits.memory.Release(aheadOverhead)
		return nil, p.count.boundHost
	}
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
	c.release(a)
	c.queue = slices.Delete(c.queue, 0, 1)
	c.keep(a)
	if len(c.queue) == 0 {
		c.pipeline.setActive(c, false)
		if c.closing {
			_ = c.breakOff(true)
		}
	}
	c.giveTurn()
	c.startAhead()
	c.signal()
	c.interrupt()
}

// keep makes the in-memory connection of an answered request a spare one, or ends it.
func (c *Conn) keep(a *aheadConn) {
	a.begun, a.returned, a.turn, a.dropHook = false, false, false, nil
	if c.sealed || c.gone || len(c.spares) >= maxSpares || c.pipeline.draining.Load() {
		a.finish()
		return
	}
	a.spare = true
	c.spares = append(c.spares, a)
	if c.expire == nil {
		c.expire = time.AfterFunc(spareTTL, c.expireSpares)
	} else {
		c.expire.Reset(spareTTL)
	}
}

// expireSpares ends the spare connections some time after the last response to a request that ran
// ahead.
func (c *Conn) expireSpares() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endSpares()
}

func (c *Conn) endSpares() {
	for _, a := range c.spares {
		a.finish()
	}
	c.spares = nil
}

// seal prevents that any further request starts.
func (c *Conn) seal() {
	c.sealed = true
	c.endSpares()
}

// dropBehind cancels the requests behind the one with this index in the queue.
func (c *Conn) dropBehind(i int) {
	c.seal()
	for _, a := range c.queue[i+1:] {
		a.dropped = true
		c.release(a)
		a.finish()
		if c.gone {
			continue // counted before, and the caller doesn't wait for it
		}
		c.pipeline.count.dropped.Add(1)
		if a.dropHook != nil {
			go a.dropHook()
		}
	}
	c.queue = slices.Delete(c.queue, i+1, len(c.queue))
	if len(c.queue) == 0 {
		c.pipeline.setActive(c, false)
	}
	c.signal()
}

// release returns what a request that ran ahead has taken of the limits.
func (c *Conn) release(a *aheadConn) {
	l := &c.pipeline.limits
	l.returnRequest()
	l.memory.Release(a.length)
	if a.returned {
		c.pipeline.undelivered.Add(-1)
	}
}

// cancelAll cancels the requests that run, because the caller has closed its side of the connection.
// net/http does that as well, and writes the responses nevertheless.
func (c *Conn) cancelAll() {
	c.gone = true
	c.endSpares()
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

package pipeline

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connState says what the server has got of the current request of a connection.
type connState uint8

const (
	// idle means that the server waits for a request.
	idle connState = iota
	// partial means that it has the beginning of a header.
	partial
	// whole means that it has exactly one request, and no byte of the next.
	whole
	// opaque means anything else. Until the server has read everything that it was given, its
	// reads pass through, and nothing runs ahead.
	opaque
)

// Conn is a caller's connection. The server reads the first request of a sequence from it, and those
// that may not run ahead.
type Conn struct {
	net.Conn
	pipeline *Pipeline

	mu    sync.Mutex
	state connState
	// serverBuffer is the size of the server's read buffer in bytes, learned from the first read.
	// A read of this size between two requests shows that the server has used up what it was
	// given.
	serverBuffer int
	scan         headerScan
	// body is the length of the body of the request that the server has, if it was withheld.
	body int
	// begun is set while a handler has the request, overtakable once later ones may start, and
	// returned once the handler has returned normally.
	begun, overtakable, returned bool
	// sealed is set when no further request may start: a response closes the connection.
	sealed bool
	// closing is set when the server has closed the connection between two requests while later
	// ones run ahead; closed when the caller's connection is closed.
	closing, closed bool
	// gone is set once the caller has closed its side. readErr is the error with which reading from
	// the caller failed; nil if it didn't.
	gone    bool
	readErr error
	// readDeadline is the server's read deadline.
	readDeadline time.Time

	// stash is a single withheld byte, if stashed is set. It needs no buffer: a caller that doesn't
	// pipeline may send its next request before the server is done with a response.
	stash   byte
	stashed bool
	// held holds the withheld bytes; nil if there are none.
	held *held
	// deliver is how many of the withheld bytes belong to the request that the server reads.
	deliver int
	// next is the first request of the withheld bytes once it was split off, and bound is set once
	// a limit kept it from running ahead.
	next  *split
	bound bool
	// reading is set while a read to held is in progress, interrupted once it was asked to end.
	reading, interrupted bool
	// queue holds the requests that run ahead, in order.
	queue []*aheadConn
	// spares are in-memory connections without a request, which expire ends.
	spares []*aheadConn
	expire *time.Timer
	// wake is signaled when readPipelined has to check the state again; nil before anything was pipelined.
	wake chan struct{}
	// poll is the timer of await.
	poll *time.Timer
}

var _ exchange = (*Conn)(nil)

func newConn(nc net.Conn, p *Pipeline) *Conn { return &Conn{Conn: nc, pipeline: p} }

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Unread reports whether bytes were read from the caller that the server hasn't got yet.
func (c *Conn) Unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.stashed || c.held != nil && len(c.held.bytes()) > 0) && !c.sealed
}

// RunsAhead reports whether requests run ahead on the connection.
func (c *Conn) RunsAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// settled reports whether the connection carries at most one request, which a handler has.
func (c *Conn) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.queue)
	if c.state != idle {
		n++
	}
	for _, a := range c.queue {
		if !a.begun {
			return false
		}
	}
	return n <= 1
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.serverBuffer == 0 {
		c.serverBuffer = len(p)
	}
	if c.stashed || c.held != nil || len(c.queue) > 0 {
		defer c.mu.Unlock()
		return c.readPipelined(p)
	}
	if c.readErr != nil {
		defer c.mu.Unlock()
		return 0, c.readErr
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received(p, n, err)
}

// received processes n bytes that were read while nothing was pipelined, and returns what the server
// gets of them.
func (c *Conn) received(p []byte, n int, err error) (int, error) {
	switch c.state {
	case idle:
		return c.receivedFirst(p, n), err
	case partial:
		c.continueHeader(p[:n])
	case whole:
		if len(p) != 1 {
			c.state = opaque
			break
		}
		// The server reads a single byte while a handler runs, to notice that the caller is gone.
		if err == nil {
			c.stash, c.stashed = p[0], true
			c.ensureWake()
			return c.readPipelined(p)
		}
	}
	return n, err
}

// receivedFirst parses the beginning of a request and returns how much of it the server gets.
func (c *Conn) receivedFirst(p []byte, n int) int {
	c.state, c.scan = opaque, headerScan{}
	if len(p) != c.serverBuffer || !isGetOrHead(p[:n]) {
		return n
	}
	end := c.scan.end(p[:n])
	switch {
	case end < 0:
		c.state = partial
		return n
	case end == n:
		c.setWhole(0)
		return n
	}
	s := splitFirst(p[:n])
	if s.form != plain && s.form != single || s.length > n {
		return n
	}
	if s.length < n && !c.withhold(p[s.length:n]) {
		return n
	}
	c.setWhole(s.body)
	return s.length
}

// continueHeader scans more bytes of a header.
func (c *Conn) continueHeader(b []byte) {
	switch c.scan.end(b) {
	case -1:
	case len(b):
		c.setWhole(0)
	default:
		c.state = opaque
	}
}

// setWhole records that the server has got, or is about to get, exactly one request.
func (c *Conn) setWhole(body int) {
	c.state, c.body = whole, body
	c.begun, c.overtakable, c.returned = false, false, false
}

// begin implements exchange.
func (c *Conn) begin(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = false
	if c.state == whole && r.ContentLength == int64(c.body) {
		c.begun = true
		return
	}
	c.state = opaque // a GET with a body that hasn't arrived, or a request behind others in the server's buffer
}

// end implements exchange.
func (c *Conn) end(returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = returned
	if !returned {
		c.dropBehind(-1)
	}
}

// complete implements exchange.
func (c *Conn) complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = idle
	c.begun, c.overtakable, c.returned = false, false, false
	c.giveTurn()
	c.startAhead()
	c.signal()
}

// allowOvertaking implements exchange.
func (c *Conn) allowOvertaking(r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead || !unremarkable(r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overtakable = true
	c.startAhead()
}

// last implements exchange.
func (c *Conn) last() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return false
	}
	c.seal()
	return true
}

// ahead implements exchange.
func (c *Conn) ahead() bool { return false }

// onDrop implements exchange.
func (c *Conn) onDrop(func()) {}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.signal()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn. If the server closes the connection between two requests while later
// ones run ahead, the caller's connection stays open until those are answered.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return nil
	}
	if c.state == idle && len(c.queue) > 0 {
		c.closing = true
		c.seal()
		c.signal()
		return nil
	}
	return c.breakOff(c.returned)
}

package intake

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/policy/connlimit"
)

// Conn is an accepted connection of a client.
type Conn struct {
	net.Conn
	intake *Intake
	// server is the connection as the server sees it; nil until it has accepted it.
	server atomic.Pointer[serverConn]
	// waitsFor is what the server's reads wait for, a connlimit.Wait, and since when in Unix nanoseconds.
	waitsFor atomic.Uint32
	since    atomic.Int64
	// writingSince is when the write in progress began, in Unix nanoseconds; 0 without one.
	writingSince atomic.Int64
	// serving is set while a handler has the request.
	serving atomic.Bool
	// begun is set once a byte of the next request was read.
	begun atomic.Bool
	// header is that of the current request.
	header header
}

// connOf returns the Conn below a connection, or nil.
func connOf(nc net.Conn) *Conn {
	for {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection without a socket")
	}
	return sc.SyscallConn()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection without half-close")
	}
	return half.CloseWrite()
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	now := time.Now()
	c.writingSince.Store(now.UnixNano())
	defer c.writingSince.Store(0)
	if d := c.intake.opts.WriteTimeout; d > 0 {
		_ = c.Conn.SetWriteDeadline(now.Add(d)) // if it fails, so does the write
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.intake.remove(c)
	c.releaseHeader()
	return c.Conn.Close()
}

// cut closes the connection from outside the server.
func (c *Conn) cut() {
	if s := c.server.Load(); s != nil {
		_ = s.Conn.Close() // what wraps c may cancel requests that run ahead
	}
	_ = c.Close()
}

func (c *Conn) wait(w connlimit.Wait) {
	c.since.Store(time.Now().UnixNano())
	c.waitsFor.Store(uint32(w))
}

// state returns what the connection waits for.
func (c *Conn) state() connlimit.Conn {
	if at := c.writingSince.Load(); at != 0 {
		return connlimit.Conn{Wait: connlimit.Reader, Since: time.Unix(0, at)}
	}
	w := connlimit.Wait(c.waitsFor.Load())
	if w == connlimit.NextRequest && c.runsAhead() {
		w = connlimit.Nothing
	}
	return connlimit.Conn{Wait: w, Since: time.Unix(0, c.since.Load())}
}

// runsAhead reports whether requests of the connection run ahead of the one that the server reads.
func (c *Conn) runsAhead() bool {
	s := c.server.Load()
	if s == nil {
		return false
	}
	p, ok := s.Conn.(interface{ RunsAhead() bool })
	return ok && p.RunsAhead()
}

func (c *Conn) requestBegan() {
	c.serving.Store(true)
	c.waitsFor.Store(uint32(connlimit.Nothing))
}

func (c *Conn) requestEnded() {
	c.serving.Store(false)
	c.begun.Store(false)
	c.wait(connlimit.NextRequest) // under HTTP/2 a read is in progress all the while
	if m := c.intake.opts.Memory; m != nil {
		c.header.next(m)
	}
}

func (c *Conn) releaseHeader() {
	if m := c.intake.opts.Memory; m != nil {
		c.header.release(m)
	}
}

// receivedHeader accounts for bytes of a header, and reports whether there is memory for them.
func (c *Conn) receivedHeader(b []byte) bool {
	m := c.intake.opts.Memory
	if m == nil || c.header.received(b, m) {
		return true
	}
	c.intake.noMemory.Add(1)
	c.intake.log("closed a connection without memory for its header", c)
	return false
}

// serverConn is a connection as the server sees it.
type serverConn struct {
	net.Conn
	conn *Conn
}

// NetConn returns the connection that s wraps.
func (s *serverConn) NetConn() net.Conn { return s.Conn }

// Read implements net.Conn.
func (s *serverConn) Read(p []byte) (int, error) {
	c := s.conn
	c.server.CompareAndSwap(nil, s)
	if w := c.waitOfRead(len(p)); w != connlimit.Nothing {
		c.wait(w)
	}
	n, err := s.Conn.Read(p)
	c.waitsFor.Store(uint32(connlimit.Nothing))
	if n == 0 || c.serving.Load() {
		return n, err
	}
	c.begun.Store(true)
	if !c.receivedHeader(p[:n]) {
		return 0, errNoMemory
	}
	return n, err
}

// waitOfRead returns what a read of the server waits for. A read of a single byte is how net/http notices, from before a
// handler begins, that the client of a request that is being served is gone. Under TLS sizes tell nothing.
func (c *Conn) waitOfRead(size int) connlimit.Wait {
	serving := c.serving.Load()
	begun := serving || c.begun.Load()
	switch {
	case serving && c.intake.opts.TLS:
		return connlimit.Nothing
	case c.intake.opts.TLS || !begun:
		return connlimit.NextRequest
	case size == 1:
		return connlimit.Nothing
	default:
		return connlimit.RestOfRequest
	}
}

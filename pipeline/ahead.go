package pipeline

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// aheadConn is the in-memory connection of a request that runs ahead, or a spare one for the next. Its
// fields are protected by the mutex of conn.
type aheadConn struct {
	conn *Conn
	// unread is the part of the request that the server hasn't read.
	unread []byte
	// length is the length of the request in bytes.
	length int64
	// changed is signaled when one of the fields below has changed.
	changed sync.Cond
	// begun is set once a handler has the request, returned once it has returned normally.
	begun, returned bool
	// turn is set once all earlier responses are written.
	turn bool
	// spare is set while there is no request, done once the server learns that the connection ends.
	spare, done bool
	// dropped is set when the response can't be delivered any more, closed when the server has
	// closed the connection before the response was complete.
	dropped, closed bool
	readDeadline    time.Time
	// dropHook is called if an earlier response closes the connection; it may be nil.
	dropHook func()
}

var (
	_ exchange = (*aheadConn)(nil)
	_ net.Conn = (*aheadConn)(nil)
)

// finish ends the connection towards the server and returns its memory.
func (a *aheadConn) finish() {
	if a.done {
		return
	}
	a.done = true
	a.conn.pipeline.limits.memory.Release(aheadOverhead)
	a.changed.Broadcast()
}

// Read implements net.Conn. After the request it blocks until the caller has disconnected or the next
// request is there.
func (a *aheadConn) Read(p []byte) (int, error) {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	for {
		switch {
		case len(a.unread) > 0 && !a.done:
			n := copy(p, a.unread)
			a.unread = a.unread[n:]
			return n, nil
		case a.closed:
			return 0, net.ErrClosed
		case a.done, a.conn.gone:
			return 0, io.EOF
		case !a.readDeadline.IsZero() && !a.readDeadline.After(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		a.changed.Wait()
	}
}

// Write implements net.Conn. It waits until all earlier responses are written.
func (a *aheadConn) Write(p []byte) (int, error) {
	if !a.awaitTurn() {
		return 0, net.ErrClosed
	}
	return a.conn.Conn.Write(p)
}

// awaitTurn waits until the response may be written, and returns false if it never may.
func (a *aheadConn) awaitTurn() bool {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	for !a.turn && !a.done && !a.closed {
		a.changed.Wait()
	}
	return !a.done && !a.closed
}

// Close implements net.Conn. Unless the response is complete and the connection stays open, it also
// ends the caller's connection, in turn.
func (a *aheadConn) Close() error {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.done || a.closed {
		return nil
	}
	a.closed = true
	a.changed.Broadcast()
	if a.spare {
		c.spares = slices.DeleteFunc(c.spares, func(b *aheadConn) bool { return a == b })
		a.finish()
		return nil
	}
	if a.turn {
		return c.breakOff(a.returned)
	}
	c.dropBehind(slices.Index(c.queue, a))
	return nil
}

// begin implements exchange.
func (a *aheadConn) begin(*http.Request) {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.begun = true
}

// end implements exchange.
func (a *aheadConn) end(returned bool) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.dropped:
	case returned:
		a.returned = true
		c.pipeline.undelivered.Add(1)
	default:
		c.dropBehind(slices.Index(c.queue, a))
	}
}

// complete implements exchange.
func (a *aheadConn) complete() {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	if !a.done && !a.closed {
		a.conn.answered(a)
	}
}

// allowOvertaking implements exchange. Later requests may start in any case, since this one is
// refused if it may not run ahead.
func (a *aheadConn) allowOvertaking(*http.Request) {}

// last implements exchange.
func (a *aheadConn) last() bool {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.dropped || c.queue[len(c.queue)-1] != a {
		return false
	}
	c.sealed = true
	return true
}

// ahead implements exchange.
func (a *aheadConn) ahead() bool { return true }

// onDrop implements exchange.
func (a *aheadConn) onDrop(f func()) {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.dropHook = f
	if a.dropped && !a.conn.gone {
		go f()
	}
}

// Unread reports whether the server hasn't read all of the request.
func (a *aheadConn) Unread() bool {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	return len(a.unread) > 0
}

// LocalAddr implements net.Conn.
func (a *aheadConn) LocalAddr() net.Addr { return a.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (a *aheadConn) RemoteAddr() net.Addr { return a.conn.RemoteAddr() }

// SetReadDeadline implements net.Conn. A deadline in the future has no effect, as the request is
// there completely; the server sets one in the past to end a read.
func (a *aheadConn) SetReadDeadline(t time.Time) error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.readDeadline = t
	a.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (a *aheadConn) SetDeadline(t time.Time) error { return a.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. The callers' server has no write timeout.
func (a *aheadConn) SetWriteDeadline(time.Time) error { return nil }

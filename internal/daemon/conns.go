package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connTracker knows the open connections of an http.Server and which of them carry a request.
// Its zero value is ready for use.
//
// http.Server can't tell: to it a connection is idle until a request's header has been read
// completely, and Shutdown closes idle connections and drops requests that were just read.
type connTracker struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection from a caller.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	// arrived is set while bytes were read that belong to no request that a handler has.
	arrived atomic.Bool
	// readAt is when bytes were last read, in Unix nanoseconds.
	readAt atomic.Int64
	// handled is set from when a handler gets a request until the server is done with its response.
	handled atomic.Bool
	// responding is set from when bytes of a response were sent until the next request begins. The
	// caller may have all of it long before the server is done, and send the next request.
	responding atomic.Bool
	// multiplexed is set for HTTP/2, whose connections are left to Shutdown.
	multiplexed atomic.Bool
	// quietSince is since when closeQuiet has seen no request on the connection; zero if it
	// has seen one. Only closeQuiet uses it.
	quietSince time.Time
}

type trackedConnKey struct{}

// attach adds the tracker's hooks to a server that is going to serve on a listener returned by
// listener.
func (t *connTracker) attach(s *http.Server) {
	connState, connContext, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := trackedConnOf(nc); c != nil && state == http.StateIdle {
			c.handled.Store(false)
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, trackedConnKey{}, trackedConnOf(nc))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(trackedConnKey{}).(*trackedConn); c != nil {
			c.begin(r)
		}
		handler.ServeHTTP(w, r)
	})
}

// listener wraps a listener so that its connections are tracked.
func (t *connTracker) listener(l net.Listener) net.Listener { return &trackedListener{l, t} }

type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, tracker: l.tracker}
	l.tracker.add(c)
	return c, nil
}

// trackedConnOf returns the tracked connection below a server's connection, or nil.
func trackedConnOf(nc net.Conn) *trackedConn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*trackedConn)
	return c
}

// NetConn returns the connection that c wraps.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
		c.arrived.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.handled.Load() {
		c.responding.Store(true)
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// begin records that a handler has received a request.
func (c *trackedConn) begin(r *http.Request) {
	if r.ProtoMajor > 1 {
		c.multiplexed.Store(true)
		return
	}
	c.responding.Store(false)
	c.handled.Store(true)
	c.arrived.Store(false)
}

// arriving reports whether the connection carries a request that no handler has yet, of which
// bytes came within arrivalGap. Unread bytes have to be looked for first: they become read ones.
func (c *trackedConn) arriving(now time.Time) bool {
	return c.unread() || c.arrived.Load() && now.Sub(time.Unix(0, c.readAt.Load())) < arrivalGap
}

// unread reports whether the connection has bytes that the server has not read yet.
func (c *trackedConn) unread() bool {
	if p := pipelinedConnOf(c.Conn); p != nil && p.Unread() {
		return true
	}
	return unreadByKernel(c.Conn)
}

// pipelinedConn is a connection of package pipeline.
type pipelinedConn interface {
	// Unread reports whether bytes were read from the caller that the server hasn't got yet.
	Unread() bool
}

// pipelinedConnOf returns the connection of package pipeline below another, or nil.
func pipelinedConnOf(nc net.Conn) pipelinedConn {
	for {
		if p, ok := nc.(pipelinedConn); ok {
			return p
		}
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
}

// unreadByKernel reports whether the kernel has bytes of a connection that nobody has read yet.
func unreadByKernel(nc net.Conn) bool {
	sc, ok := innermost(nc).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // closed
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // an error means that it is closed
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// innermost returns the connection that other connections wrap.
func innermost(nc net.Conn) net.Conn {
	for {
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nc
		}
		nc = outer.NetConn()
	}
}

// runsAhead reports whether requests run ahead of the one that the server reads from the connection.
func (c *trackedConn) runsAhead() bool {
	p, ok := pipelinedConnOf(c.Conn).(interface{ RunsAhead() bool })
	return ok && p.RunsAhead()
}

func (t *connTracker) add(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[*trackedConn]struct{})
	}
	t.conns[c] = struct{}{}
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// open returns the open connections, except those of HTTP/2, and whether there are any of the
// latter.
func (t *connTracker) open() (list []*trackedConn, multiplexed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.multiplexed.Load() {
			multiplexed = true
			continue
		}
		list = append(list, c)
	}
	return list, multiplexed
}

// closeQuiet closes the connections that have carried no request for quietDuration. It returns
// how many have a request that a handler has, and how many are left on which a request may be
// arriving that no handler has.
func (t *connTracker) closeQuiet(now time.Time) (handled, waiting int) {
	list, _ := t.open()
	for _, c := range list {
		switch {
		case c.handled.Load() || c.runsAhead():
			c.quietSince = time.Time{}
			handled++
			if c.handled.Load() && c.responding.Load() {
				waiting++
			}
			continue
		case c.arriving(now):
			c.quietSince = time.Time{}
		case c.quietSince.IsZero():
			c.quietSince = now
		case now.Sub(c.quietSince) >= quietDuration:
			_ = c.Close() // nothing is lost with it
			continue
		}
		waiting++
	}
	return handled, waiting
}

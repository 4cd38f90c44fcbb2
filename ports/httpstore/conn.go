package httpstore

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// errWritesBlocked is returned by writes to a connection whose request was abandoned.
var errWritesBlocked = errors.New("write blocked: request was abandoned")

// guardedConn counts the writes started on a connection and can block further ones.
//
// A request may be abandoned while the transport is about to write it. Write and blockWrites
// take the same lock, so once blockWrites has returned 0, no byte of the request can be
// sent.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	writes  int
	blocked bool
}

// Write sends p unless writes are blocked.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *guardedConn) writesStarted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites blocks further writes and returns the number of writes started before.
func (c *guardedConn) blockWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.writes
}

// writeTracker records the connections that the transport assigns to one request.
type writeTracker struct {
	mu    sync.Mutex
	conns []trackedConn
	// untracked is set if the request got a connection that is not a guardedConn.
	untracked bool
}

// trackedConn is a connection and the number of writes started on it before the request got
// it.
type trackedConn struct {
	conn         *guardedConn
	writesBefore int
}

// trace returns a context that makes the transport report the request's connections to s.
func (s *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *writeTracker) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sc, ok := c.(*guardedConn)
	if !ok {
		s.untracked = true
		return
	}
	s.conns = append(s.conns, trackedConn{conn: sc, writesBefore: sc.writesStarted()})
}

// nothingSent blocks the connections of a request that failed without a response and reports
// whether no byte of the request was sent. The transport does not reuse a connection after
// such a failure, so no other request is affected.
func (s *writeTracker) nothingSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return false
	}
	none := true
	for _, u := range s.conns {
		if u.conn.blockWrites() != u.writesBefore {
			none = false
		}
	}
	return none
}

// guardedDial returns a dial function whose connections are guardedConns.
func guardedDial(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c}, nil
	}
}

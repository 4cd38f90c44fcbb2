package httpstore

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is the error of a write to a connection whose request was given up.
var errSealed = errors.New("connection given up")

// sealConn counts the writes begun on a connection and can forbid more.
//
// A request may be given up while the transport is about to write it. Sealing and writing take the
// same lock, so after seal has returned zero no byte of the request can leave any more.
type sealConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write sends p unless the connection is sealed.
func (c *sealConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealConn) begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the number of those begun.
func (c *sealConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// sent watches the connections that one request is given.
type sent struct {
	mu    sync.Mutex
	conns []usedConn
	// unknown is set if a connection is not ours and can not be asked.
	unknown bool
}

// usedConn is a connection with the writes begun before the request got it.
type usedConn struct {
	conn   *sealConn
	before int
}

// trace returns a context in which the transport tells s of its connections.
func (s *sent) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sent) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sc, ok := c.(*sealConn)
	if !ok {
		s.unknown = true
		return
	}
	s.conns = append(s.conns, usedConn{conn: sc, before: sc.begun()})
}

// nothing seals the connections of a request that failed without an answer, and
// reports whether no byte of it left. The transport does not use a connection
// again after such a failure, so sealing it harms no other request.
func (s *sent) nothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknown {
		return false
	}
	none := true
	for _, u := range s.conns {
		if u.conn.seal() != u.before {
			none = false
		}
	}
	return none
}

// dialer returns the transport's way to make connections.
func dialer(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &sealConn{Conn: c}, nil
	}
}

package target

import (
	"net"
	"sync"
)

// limitListener closes each connection beyond the limit as it is accepted.
type limitListener struct {
	net.Listener
	t *Target
}

// Accept returns the next connection that is within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.t.connOpened() {
			return &countedConn{Conn: c, closed: l.t.connClosed}, nil
		}
		// Nothing was read from it, so nothing can be lost but the connection.
		_ = c.Close()
	}
}

// connOpened counts a connection if the limit allows it.
func (t *Target) connOpened() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opts.MaxConns > 0 && t.status.Conns >= t.opts.MaxConns {
		t.status.ConnsRefused++
		return false
	}
	t.status.Conns++
	t.status.PeakConns = max(t.status.PeakConns, t.status.Conns)
	return true
}

func (t *Target) connClosed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Conns--
}

// countedConn tells of its first Close.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

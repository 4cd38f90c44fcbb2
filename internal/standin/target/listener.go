package target

import (
	"net"
	"sync"
)

// limitListener enforces Options.MaxConns: it closes excess connections right after accept.
type limitListener struct {
	net.Listener
	t *Target
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.t.connOpened() {
			return &countedConn{Conn: c, closed: l.t.connClosed}, nil
		}
		// Nothing has been read from the connection, so no request can have been lost.
		_ = c.Close()
	}
}

// connOpened counts a new connection, or reports false if the limit is reached.
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

// countedConn calls closed at its first Close.
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

package upstream

import (
	"io"
	"net"
	"sync/atomic"
)

// countingConn counts the writes by which bytes may have left this host. A write is counted when it
// starts: while it is under way, there is no way to know how much of it was sent.
type countingConn struct {
	net.Conn
	// exact is set if a failed write reports exactly how many bytes were accepted.
	exact  bool
	writes atomic.Uint64
	guard  resetGuard
	// open counts the connections that are open, if it is set; closed is set once this one isn't.
	open   *atomic.Int64
	closed atomic.Bool
}

// newCountingConn returns a countingConn. Only TCP reports exactly how much it accepted; a stream
// between hosts may have sent a part of a frame.
func newCountingConn(c net.Conn) *countingConn {
	_, tcp := c.(*net.TCPConn)
	return &countingConn{Conn: c, exact: tcp}
}

// countIn counts the connection in open until it is closed.
func (c *countingConn) countIn(open *atomic.Int64) {
	c.open = open
	open.Add(1)
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if c.open != nil && c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// Read implements net.Conn. The end of a connection through another host is a message, which the reset
// of that connection doesn't make untrue.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if _, relayed := c.Conn.(RelayedConn); err == io.EOF && !relayed {
		err = c.guard.end(c.Conn)
	}
	return n, err
}

// Write implements net.Conn. A failed write of which TCP accepted no byte is not counted.
func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.guard.write(c.Conn, b)
	if c.exact && err != nil && n == 0 {
		c.writes.Add(^uint64(0))
	}
	return n, err
}

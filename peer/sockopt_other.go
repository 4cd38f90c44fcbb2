//go:build !linux

package peer

import "net"

// tuneConn sets the keep-alive probes; the bound on unacknowledged bytes is the
// system's own.
func tuneConn(conn net.Conn) {
	if tc, ok := conn.(*net.TCPConn); ok {
		_ = tc.SetKeepAliveConfig(keepAlive)
	}
}

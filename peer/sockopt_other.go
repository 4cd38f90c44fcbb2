//go:build !linux

package peer

import "net"

// tuneConn enables keep-alive probes. The timeout of unacknowledged data is the default of
// the operating system.
func tuneConn(conn net.Conn) {
	if tc, ok := conn.(*net.TCPConn); ok {
		_ = tc.SetKeepAliveConfig(keepAlive)
	}
}

package peer

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not
// define.
const tcpUserTimeout = 0x12

// tuneConn enables keep-alive probes and lets the kernel close a connection whose data stays
// unacknowledged. Without the timeout, a connection to a host that vanished retransmits for
// minutes, and every call to its replacement at the same address is lost in it.
func tuneConn(conn net.Conn) {
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tc.SetKeepAliveConfig(keepAlive)
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		ms := int(unackedTimeout / time.Millisecond)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
	})
}

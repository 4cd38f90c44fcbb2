package peer

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// tuneConn lets the kernel give up a connection whose sent bytes stay
// unacknowledged. Without it a connection to a host that vanished lives for
// minutes of retransmission, and each call to its replacement at the same
// address is lost in it.
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

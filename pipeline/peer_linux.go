package pipeline

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection whose peer has closed it (include/net/tcp_states.h).
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// closedByPeer reports whether the peer has closed a TCP connection, also if bytes that it sent
// before are unread. It returns false for other connections.
func closedByPeer(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { // an error means that this side has closed it
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			closed = true
		}
	})
	return closed
}

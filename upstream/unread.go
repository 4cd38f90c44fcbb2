package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketOf returns the socket of a connection, or nil for one through another host.
func socketOf(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil // closed, which the next request reports
	}
	return raw
}

// hasUnread reports whether an idle connection was closed by the other end, or holds bytes that no
// request asked for. It asks the kernel: on a host that is short of processor time, the goroutine
// that reads the connection finds out after the next request was sent, and nobody can tell then
// whether it ran.
func hasUnread(socket syscall.RawConn) bool {
	if socket == nil {
		return false
	}
	unread := false
	err := socket.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds[:], 0)
		unread = n > 0 || pollErr != nil && pollErr != unix.EINTR
	})
	return err != nil || unread
}

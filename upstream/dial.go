package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout ends a connection on which sent data stays unacknowledged (TCP_USER_TIMEOUT).
	//
	// A connection may go silent without a reset, and each request on it would hang until its
	// deadline. Acknowledgements within a region take far less time.
	unackedTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive. It detects
	// dead connections that wait for a response and have no unacknowledged data.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dial function for TCP connections that detect an unresponsive peer.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: timeout,
		Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return d.DialContext
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

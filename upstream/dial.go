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
	keepAliveCount    = 3
	// quietTimeout is the TCP_USER_TIMEOUT of a connection that waits for a response. If one is
	// set, it decides in place of keepAliveCount when keep-alive gives up: with unackedTimeout a
	// single lost probe would.
	quietTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// quietAfter is when a request counts as waiting: had it not been acknowledged, its
	// connection would have ended before.
	quietAfter = unackedTimeout + 500*time.Millisecond
)

// Dialer returns a dial function for TCP connections that detect an unresponsive peer.
func Dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return dialerFrom(timeout, nil)
}

// dialerFrom is like Dialer for connections from a local address; nil lets the system choose one.
func dialerFrom(timeout time.Duration, source net.IP) func(ctx context.Context, network, addr string) (net.Conn, error) {
	var local net.Addr
	if source != nil {
		local = &net.TCPAddr{IP: source}
	}
	d := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: local,
		Control:   setUnackedTimeout,
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
	return setUserTimeout(c, unackedTimeout)
}

// responseWait lets a connection wait for responses, one after the other.
type responseWait struct {
	raw   syscall.RawConn
	timer *time.Timer
}

// newResponseWait returns nil without a socket: a connection through another host has timeouts of its own.
func newResponseWait(raw syscall.RawConn) *responseWait {
	if raw == nil {
		return nil
	}
	w := &responseWait{raw: raw}
	w.timer = time.AfterFunc(quietAfter, func() { _ = setUserTimeout(raw, quietTimeout) })
	w.timer.Stop()
	return w
}

// begin begins the wait for a response.
func (w *responseWait) begin() {
	if w != nil {
		w.timer.Reset(quietAfter)
	}
}

// end ends the wait and reports whether the connection may be used again.
func (w *responseWait) end() bool {
	return w == nil || w.timer.Stop() || setUserTimeout(w.raw, unackedTimeout) == nil
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

package upstream

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// resetWait is how long the end of a connection waits for a write in progress, which ends at once if the connection was
// reset. resetPollInterval is the interval at which it is looked for.
const (
	resetWait         = 100 * time.Millisecond
	resetPollInterval = time.Millisecond
)

// resetGuard tells a connection that was reset from one that ended.
//
// The kernel reports a reset once, to whoever asks first. If that is a write, a read beside it gets a clean end, and a
// response without a length, which ends with its connection, would look whole.
type resetGuard struct {
	mu sync.Mutex
	// writing is the number of writes in progress.
	writing int
	// failure is how the first write failed that found the connection broken.
	failure error
}

// write writes to a connection and keeps its failure.
func (g *resetGuard) write(c net.Conn, b []byte) (int, error) {
	g.mu.Lock()
	g.writing++
	g.mu.Unlock()
	n, err := c.Write(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing--
	if g.failure == nil && isBroken(err) {
		g.failure = err
	}
	return n, err
}

// isBroken reports whether a write failed since the connection had broken. The kernel reports EPIPE where the other side
// had closed the connection before it was reset: all that it sent has arrived.
func isBroken(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// end returns the error of a read that got a clean end: io.EOF, or how the connection has broken.
func (g *resetGuard) end(c net.Conn) error {
	for began := time.Now(); ; time.Sleep(resetPollInterval) {
		writing, failure := g.state()
		switch {
		case failure != nil:
			return failure
		case !writing, isHalfClosed(c), time.Since(began) > resetWait:
			return io.EOF
		}
	}
}

func (g *resetGuard) state() (writing bool, failure error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writing > 0, g.failure
}

// isHalfClosed reports whether the other side has closed a TCP connection that takes more bytes from this one.
func isHalfClosed(c net.Conn) bool {
	raw := socketOf(c)
	if raw == nil {
		return false
	}
	const closeWait = 8 // include/net/tcp_states.h
	state := uint8(0)
	_ = raw.Control(func(fd uintptr) { // an error means that it is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == closeWait
}

// guardedConn is a connection whose reads tell a reset from an end.
type guardedConn struct {
	net.Conn
	guard resetGuard
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.guard.end(c.Conn)
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) { return c.guard.write(c.Conn, b) }

package edge_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/upstream"
)

// pathFault is what is wrong with the path between one daemon and some targets.
type pathFault uint8

const (
	pathWell pathFault = iota
	// pathSilent loses all packets: open connections hang until the TCP user timeout.
	pathSilent
	// pathReset resets open connections and new ones.
	pathReset
	// pathRefused refuses new connections and leaves open ones alone.
	pathRefused
	// pathOneWay delivers what the daemon sends and loses what the target sends.
	pathOneWay
)

// userTimeout is how long a connection on a lossy path lives on once it has sent something.
const userTimeout = time.Second

// faultyPath is the path between one daemon and the targets. The zero value is well.
type faultyPath struct {
	mu    sync.Mutex
	fault pathFault
	// affects, if set, limits the fault to some addresses.
	affects func(addr string) bool
	conns   map[*faultyConn]bool
}

// cut brings about a fault of the path to all targets, or ends it.
func (p *faultyPath) cut(f pathFault) { p.cutFrom(f, nil) }

// cutFrom is like cut for the targets whose addresses satisfy affects.
func (p *faultyPath) cutFrom(f pathFault, affects func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.affects = f, affects
	for c := range p.conns {
		if f == pathReset && p.faultOf(c.addr) == f {
			c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		}
	}
}

// faultOf returns the fault of the path to an address. p.mu must be held.
func (p *faultyPath) faultOf(addr string) pathFault {
	if p.affects != nil && !p.affects(addr) {
		return pathWell
	}
	return p.fault
}

func (p *faultyPath) current(addr string) pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(addr)
}

// targetDialTimeout is the daemon's own timeout for connections to targets.
const targetDialTimeout = 250 * time.Millisecond

// dial implements edge.Platform.DialTarget.
func (p *faultyPath) dial(ctx context.Context, addr string) (net.Conn, error) {
	switch p.current(addr) {
	case pathSilent, pathOneWay:
		ctx, cancel := context.WithTimeout(ctx, targetDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case pathReset:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNRESET}
	case pathRefused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	raw, err := upstream.Dialer(targetDialTimeout)(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: raw, path: p, addr: addr, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[*faultyConn]bool)
	}
	p.conns[c] = true
	return c, nil
}

// faultyConn is a connection over a faultyPath.
type faultyConn struct {
	net.Conn
	path   *faultyPath
	addr   string
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	// unacked is when the oldest unacknowledged bytes were sent; zero if there are none.
	unacked time.Time
}

// Write implements net.Conn. On a silent path the bytes are lost.
func (c *faultyConn) Write(b []byte) (int, error) {
	fault := c.path.current(c.addr)
	if fault == pathSilent || fault == pathOneWay {
		c.mu.Lock()
		if c.unacked.IsZero() {
			c.unacked = time.Now()
		}
		c.mu.Unlock()
	}
	if fault == pathSilent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. What arrives while replies are lost is never delivered.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for f := c.path.current(c.addr); f == pathSilent || f == pathOneWay; f = c.path.current(c.addr) {
		c.mu.Lock()
		sent := c.unacked
		c.mu.Unlock()
		if !sent.IsZero() && time.Since(sent) > userTimeout {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(5 * time.Millisecond):
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

// Package faultypath is a path between one entry host and the targets that tests can cut. It
// stands between a daemon and real connections.
package faultypath

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/upstream"
)

// Fault is what is wrong with a path.
type Fault uint8

const (
	// Well is a path without a fault.
	Well Fault = iota
	// Silent loses all packets: open connections hang until the TCP user timeout.
	Silent
	// Reset resets open connections and new ones.
	Reset
	// Refused refuses new connections and leaves open ones alone.
	Refused
	// OneWay delivers what the daemon sends and loses what the target sends.
	OneWay
)

// userTimeout is how long a connection on a lossy path lives on once it has sent something.
const userTimeout = time.Second

// Path is the path between one daemon and the targets. The zero value is well. It is safe for
// concurrent use.
type Path struct {
	mu    sync.Mutex
	fault Fault
	// affects, if set, limits the fault to some addresses.
	affects func(addr string) bool
	conns   map[*conn]bool
}

// Cut brings about a fault of the path to all targets, or ends it.
func (p *Path) Cut(f Fault) { p.CutFrom(f, nil) }

// CutFrom is like Cut for the targets whose addresses satisfy affects.
func (p *Path) CutFrom(f Fault, affects func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.affects = f, affects
	for c := range p.conns {
		if f == Reset && p.faultOf(c.addr) == f {
			c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		}
	}
}

// faultOf returns the fault of the path to an address. p.mu must be held.
func (p *Path) faultOf(addr string) Fault {
	if p.affects != nil && !p.affects(addr) {
		return Well
	}
	return p.fault
}

func (p *Path) current(addr string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(addr)
}

// dialTimeout is when a connection that is not answered fails.
const dialTimeout = 250 * time.Millisecond

// Dial opens a connection to a target, as far as the path lets it.
func (p *Path) Dial(ctx context.Context, addr string) (net.Conn, error) {
	switch p.current(addr) {
	case Silent, OneWay:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case Reset:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNRESET}
	case Refused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	raw, err := upstream.Dialer(dialTimeout)(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, path: p, addr: addr, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[*conn]bool)
	}
	p.conns[c] = true
	return c, nil
}

// conn is a connection over a Path.
type conn struct {
	net.Conn
	path   *Path
	addr   string
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	// unacked is set while bytes that were sent are not acknowledged, expired once they were not
	// for too long.
	unacked, expired bool
}

// lossy reports whether packets from the target are lost.
func (c *conn) lossy() bool {
	f := c.path.current(c.addr)
	return f == Silent || f == OneWay
}

// Write implements net.Conn. On a silent path the bytes are lost.
func (c *conn) Write(b []byte) (int, error) {
	if c.lossy() {
		c.awaitAck()
	}
	if c.path.current(c.addr) == Silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// awaitAck lets the connection expire unless the path is well in time.
func (c *conn) awaitAck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unacked {
		return
	}
	c.unacked = true
	time.AfterFunc(userTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unacked, c.expired = false, c.lossy()
		if c.expired {
			_ = c.Conn.SetReadDeadline(time.Now()) // wakes the reader
		}
	})
}

// Read implements net.Conn. What arrives while replies are lost is delivered once the path is
// well.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.lossy() {
		if c.hasExpired() {
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

func (c *conn) hasExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

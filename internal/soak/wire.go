// Package soak runs real entry hosts as separate processes and disturbs them from
// outside: wires that are delayed, reset or silenced, processes that are paused,
// killed, stopped and started again, a store and targets that misbehave. It checks
// what callers and targets see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Wire passes TCP connections on and can be disturbed.
type Wire struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// silent holds all bytes back, delay each piece for a time.
	silent bool
	delay  time.Duration
	healed chan struct{}
}

// NewWire returns a wire to an address.
func NewWire(to string) (*Wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Wire{listener: l, to: to, conns: make(map[net.Conn]struct{}), healed: make(chan struct{})}
	go w.run()
	return w, nil
}

// Addr is where the wire begins.
func (w *Wire) Addr() string { return w.listener.Addr().String() }

// Close ends the wire.
func (w *Wire) Close() {
	_ = w.listener.Close()
	w.Heal()
	w.Reset()
}

// Silence holds all bytes back, of connections that are open too, until Heal.
func (w *Wire) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
}

// Delay delays all bytes until Heal.
func (w *Wire) Delay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// Heal ends all disturbances.
func (w *Wire) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent, w.delay = false, 0
	close(w.healed)
	w.healed = make(chan struct{})
}

// Reset resets the connections that are open.
func (w *Wire) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (w *Wire) run() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(in)
	}
}

func (w *Wire) serve(in net.Conn) {
	w.add(in)
	defer w.drop(in)
	w.hold()
	out, err := net.DialTimeout("tcp", w.to, time.Second)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	w.add(out)
	defer w.drop(out)
	done := make(chan struct{}, 2)
	go w.pass(in, out, done)
	go w.pass(out, in, done)
	<-done
}

func (w *Wire) pass(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w.hold()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // a half-close is passed on
			return
		}
		if err != nil {
			return
		}
	}
}

// hold waits for as long as the wire is disturbed.
func (w *Wire) hold() {
	for {
		w.mu.Lock()
		silent, delay, healed := w.silent, w.delay, w.healed
		w.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		<-healed
	}
}

func (w *Wire) add(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
}

func (w *Wire) drop(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
	_ = c.Close()
}

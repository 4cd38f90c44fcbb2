// Package soak tests entry hosts under random faults. It runs real daemons as separate
// processes, with a simulated store and simulated targets, and injects faults from
// outside: it delays, resets and blackholes their TCP connections through a FaultProxy,
// pauses, kills, stops and restarts processes, and makes the store and the targets
// misbehave. Meanwhile callers send requests, and the responses and the executions at the
// targets are checked against the guarantees of the load balancer. The seed determines
// the sequence of faults.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// FaultProxy forwards TCP connections and can inject faults into them.
type FaultProxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// blackholed holds back all data, delay each chunk for a time.
	blackholed bool
	delay      time.Duration
	healed     chan struct{}
}

// NewFaultProxy starts a proxy that forwards to an address.
func NewFaultProxy(to string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &FaultProxy{listener: l, upstream: to, conns: make(map[net.Conn]struct{}), healed: make(chan struct{})}
	go w.run()
	return w, nil
}

// Addr returns the address that the proxy listens on.
func (w *FaultProxy) Addr() string { return w.listener.Addr().String() }

// Close closes the listener and all connections.
func (w *FaultProxy) Close() {
	_ = w.listener.Close()
	w.Heal()
	w.Reset()
}

// Blackhole holds back all data, also on open connections, until Heal.
func (w *FaultProxy) Blackhole() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blackholed = true
}

// Delay delays all data by d until Heal.
func (w *FaultProxy) Delay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// Heal ends all faults. Data held back is forwarded.
func (w *FaultProxy) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blackholed, w.delay = false, 0
	close(w.healed)
	w.healed = make(chan struct{})
}

// Reset resets all open connections.
func (w *FaultProxy) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (w *FaultProxy) run() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(in)
	}
}

func (w *FaultProxy) serve(in net.Conn) {
	w.add(in)
	defer w.drop(in)
	w.waitWhileFaulty()
	out, err := net.DialTimeout("tcp", w.upstream, time.Second)
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

func (w *FaultProxy) pass(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w.waitWhileFaulty()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // forward the half-close
			return
		}
		if err != nil {
			return
		}
	}
}

// waitWhileFaulty blocks while the proxy is blackholed, then for the delay.
func (w *FaultProxy) waitWhileFaulty() {
	for {
		w.mu.Lock()
		silent, delay, healed := w.blackholed, w.delay, w.healed
		w.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		<-healed
	}
}

func (w *FaultProxy) add(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
}

func (w *FaultProxy) drop(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
	_ = c.Close()
}

// Package soak tests entry hosts under random faults. It runs real daemons as separate
// processes, with a simulated store and simulated targets, and injects faults from
// outside: it delays, resets and blackholes their TCP connections through a FaultProxy,
// pauses, kills, stops and restarts processes, and makes the store and the targets
// misbehave. Meanwhile callers send requests, and the responses and the executions at the
// targets are checked against the guarantees of the load balancer. The seed determines
// the sequence of faults.
package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
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
	// throttle limits the bytes per second of all connections together; nil if they are not
	// limited.
	throttle *rate.Limiter
	// unreachableFrom are the IP addresses whose packets are lost.
	unreachableFrom []net.IP
}

// NewFaultProxy starts a proxy that forwards to an address.
func NewFaultProxy(upstream string) (*FaultProxy, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its listeners take no packet filter
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &FaultProxy{listener: l, upstream: upstream, conns: make(map[net.Conn]struct{}), healed: make(chan struct{})}
	go p.run()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *FaultProxy) Addr() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *FaultProxy) Close() {
	_ = p.listener.Close()
	p.Heal()
	p.Reset()
}

// Blackhole holds back all data, also on open connections, until Heal.
func (p *FaultProxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
}

// Delay delays all data by d until Heal.
func (p *FaultProxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Throttle limits all connections together to a rate in bytes per second until Heal, so that data
// queues.
func (p *FaultProxy) Throttle(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.throttle = rate.NewLimiter(rate.Limit(bytesPerSecond), throttledChunk)
}

// throttledChunk is the number of bytes that a throttled proxy forwards at once.
const throttledChunk = 512

// Heal ends all faults. Data held back is forwarded.
func (p *FaultProxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed, p.delay, p.throttle = false, 0, nil
	close(p.healed)
	p.healed = make(chan struct{})
}

// Reset resets all open connections.
func (p *FaultProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *FaultProxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in) // in has the listener's filter
	}
}

func (p *FaultProxy) serve(in net.Conn) {
	p.add(in)
	defer p.drop(in)
	p.waitWhileFaulty()
	out, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	p.add(out)
	defer p.drop(out)
	done := make(chan struct{}, 2)
	go p.pass(in, out, done)
	go p.pass(out, in, done)
	<-done
}

func (p *FaultProxy) pass(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitWhileFaulty()
		if p.write(to, buf[:n]) != nil {
			return
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

// write forwards data, in chunks while the proxy is throttled.
func (p *FaultProxy) write(to net.Conn, data []byte) error {
	for len(data) > 0 {
		p.mu.Lock()
		throttle := p.throttle
		p.mu.Unlock()
		n := len(data)
		if throttle != nil {
			n = min(n, throttledChunk)
			if err := throttle.WaitN(context.Background(), n); err != nil {
				return err
			}
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// waitWhileFaulty blocks while the proxy is blackholed, then for the delay.
func (p *FaultProxy) waitWhileFaulty() {
	for {
		p.mu.Lock()
		blackholed, delay, healed := p.blackholed, p.delay, p.healed
		p.mu.Unlock()
		if !blackholed {
			time.Sleep(delay)
			return
		}
		<-healed
	}
}

func (p *FaultProxy) add(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *FaultProxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

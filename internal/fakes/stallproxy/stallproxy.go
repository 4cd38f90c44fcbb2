// Package stallproxy is a TCP proxy whose established connections can be made to stop carrying data
// without a reset, as behind a middlebox that has lost its state but still acknowledges. New
// connections work.
package stallproxy

import (
	"net"
	"sync"
	"testing"
)

// Proxy forwards connections to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection from a client and the one to the server that it is forwarded to.
type pair struct {
	client, server net.Conn
	stalled        chan struct{}
}

// New returns a proxy on a listener that forwards to an address. It is closed at the end of the test.
func New(t testing.TB, listener net.Listener, to string) *Proxy {
	p := &Proxy{listener: listener, to: to, pairs: make(map[*pair]bool)}
	t.Cleanup(p.close)
	go p.serve()
	return p
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Stall stops the forwarding on all established connections for good, and returns their number. Both sides
// stay open, and what they send is acknowledged and lost.
func (p *Proxy) Stall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		select {
		case <-c.stalled:
		default:
			close(c.stalled)
			n++
		}
	}
	return n
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{client: client, server: server, stalled: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(server, client) })
	wg.Go(func() { c.copy(client, server) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards what one side sends. Once the pair has stalled, it discards everything, also the end.
func (c *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.stalled:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

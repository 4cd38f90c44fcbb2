// Package pipeline lets requests that a caller sends on one HTTP/1.1 connection before the first is
// answered run at the same time. Responses are written in the order of the requests.
//
// net/http serves the requests of a connection one after another. Here a connection is wrapped in
// front of the server. While nothing is pipelined, reads and writes pass through. Bytes that arrive
// behind the header of a GET or HEAD whose response isn't complete are withheld from the server's
// reads and split into requests by http.ReadRequest. Each request that may run ahead is served by
// the same http.Server on an in-memory connection (aheadConn), whose writes wait for their turn and
// then go to the caller's connection. All other requests wait until everything before them is
// answered and are then read by the server as if nothing had been pipelined.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// Defaults of the limits.
const (
	// DefaultPerConnection is how many requests of one connection may run ahead. A target has 3
	// slots and a queue of 6, so that more of one connection would fill two targets.
	DefaultPerConnection = 16
	// DefaultPerHost is how many requests may run ahead on one host. Each takes some 16 kB.
	DefaultPerHost = 256
)

// Memory accounts for bytes that are held for callers. It is implemented by semaphore.Weighted.
type Memory interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// Options of a Pipeline.
type Options struct {
	// MayRunAhead reports whether a GET or HEAD without a body may run before earlier ones are
	// answered. It must not block. It may be wrong: the handler has to check again, see Ahead.
	MayRunAhead func(r *http.Request) bool
	// PerConnection and PerHost limit the requests that run ahead; 0 means the default.
	PerConnection, PerHost int
	// Memory limits the bytes withheld and the memory of requests that run ahead.
	Memory  Memory
	Metrics *metrics.Set
}

// Pipeline serves the pipelined requests of all callers of one http.Server.
type Pipeline struct {
	opts   Options
	limits limits
	count  counters
	// started passes requests that run ahead to the server.
	started  chan *aheadConn
	closed   chan struct{}
	close    sync.Once
	draining atomic.Bool
	// undelivered counts requests that run ahead whose handler has returned and whose response
	// isn't written.
	undelivered atomic.Int64

	mu sync.Mutex
	// active holds the connections with requests that run ahead.
	active map[*Conn]struct{}
}

// New returns a Pipeline that isn't attached to a server yet.
func New(opts Options) *Pipeline {
	if opts.PerConnection == 0 {
		opts.PerConnection = DefaultPerConnection
	}
	if opts.PerHost == 0 {
		opts.PerHost = DefaultPerHost
	}
	return &Pipeline{
		opts:    opts,
		limits:  limits{perHost: int64(opts.PerHost), memory: opts.Memory},
		count:   newCounters(opts.Metrics),
		started: make(chan *aheadConn, opts.PerHost),
		closed:  make(chan struct{}),
		active:  make(map[*Conn]struct{}),
	}
}

// Attach adds the hooks to a server that is going to serve on Listener and Ahead.
func (p *Pipeline) Attach(s *http.Server) {
	connState, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			if x := exchangeOf(nc); x != nil {
				x.complete()
			}
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		if x := exchangeOf(nc); x != nil {
			ctx = context.WithValue(ctx, exchangeKey{}, x)
		}
		return ctx
	}
	s.Handler = handler(s.Handler)
}

// handler notifies the exchange of a request when the request reaches its handler and when the handler
// returns.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeIn(r.Context())
		if x == nil {
			next.ServeHTTP(w, r)
			return
		}
		x.begin(r)
		returned := false
		defer func() { x.end(returned) }() // returned stays false if the handler panics
		next.ServeHTTP(w, r)
		returned = true
	})
}

// Listener wraps the listener for callers.
func (p *Pipeline) Listener(l net.Listener) net.Listener { return &listener{l, p} }

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(nc, l.pipeline), nil
}

// Ahead returns the listener on which the server accepts the requests that run ahead. addr is the
// address that it reports.
func (p *Pipeline) Ahead(addr net.Addr) net.Listener { return &aheadListener{p, addr} }

type aheadListener struct {
	pipeline *Pipeline
	addr     net.Addr
}

// Accept implements net.Listener.
func (l *aheadListener) Accept() (net.Conn, error) {
	select {
	case a := <-l.pipeline.started:
		return a, nil
	case <-l.pipeline.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *aheadListener) Addr() net.Addr { return l.addr }

// Close implements net.Listener. Requests that the server hasn't accepted are dropped with their
// connections.
func (l *aheadListener) Close() error {
	l.pipeline.Drain()
	l.pipeline.close.Do(func() { close(l.pipeline.closed) })
	for {
		select {
		case a := <-l.pipeline.started:
			_ = a.Close()
		default:
			return nil
		}
	}
}

// Drain stops starting requests ahead. Those that run already are answered.
func (p *Pipeline) Drain() { p.draining.Store(true) }

// Settled reports whether every request that runs ahead has reached its handler and no connection
// carries more than one request. Only then may the server announce the close of its connections.
func (p *Pipeline) Settled() bool {
	for _, c := range p.activeConns() {
		if !c.settled() {
			return false
		}
	}
	return true
}

// Undelivered returns how many requests ran ahead to their end and wait for their response to be
// written.
func (p *Pipeline) Undelivered() int { return int(p.undelivered.Load()) }

func (p *Pipeline) activeConns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Conn, 0, len(p.active))
	for c := range p.active {
		list = append(list, c)
	}
	return list
}

// setActive records whether a connection has requests that run ahead.
func (p *Pipeline) setActive(c *Conn, active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if active {
		p.active[c] = struct{}{}
	} else {
		delete(p.active, c)
	}
}

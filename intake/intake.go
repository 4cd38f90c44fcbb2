// Package intake bounds what clients hold of a host: the connections that are open at the same time, and the memory of
// the headers of their requests.
//
// Clients that nobody controls connect and send nothing, stop within a request, or don't read their responses. Without
// a bound the host runs out of descriptors, also for its targets, the store and other hosts. At the bound, one of the
// connections that wait for their client is closed for each new one (package connlimit), so that ordinary clients are
// still served.
//
// A header of many short fields takes more than ten times its size. Beyond what an ordinary header takes, it is reckoned
// by what it costs, while it arrives and until its request has ended. A connection for whose header there is no memory is
// closed. Requests with ordinary headers need none of that memory.
package intake

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/connlimit"
)

// logLinesPerSecond and logLineBurst limit the log lines of one host about closed connections.
const (
	logLinesPerSecond = 1
	logLineBurst      = 10
)

// Options of an Intake.
type Options struct {
	// Name names the listener in metrics and in the log.
	Name string
	// MaxConns is the maximum of connections that are open at the same time.
	MaxConns int
	// TLS is set if the server decrypts what it reads. It can't be told then whether a request that is being served
	// waits for its client.
	TLS bool
	// WriteTimeout ends connections whose client takes nothing of a write for so long; 0 means no limit.
	WriteTimeout time.Duration
	// Memory limits the memory of headers; nil, or with TLS, it isn't limited.
	Memory  Memory
	Metrics *metrics.Set
	Log     *zap.Logger
}

// Intake bounds the connections of one server. It is safe for concurrent use.
type Intake struct {
	opts    Options
	limiter *rate.Limiter
	// closed counts connections that were closed for new ones, refused new ones that were closed since all others
	// served a request.
	closed, refused *expvar.Int
	// noMemory counts connections that were closed because there was no memory for their header.
	noMemory *expvar.Int

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns an Intake that isn't attached to a server yet.
func New(o Options) *Intake {
	if o.TLS {
		o.Memory = nil
	}
	counter := o.Metrics.Counters("intake_" + o.Name)
	in := &Intake{
		opts:     o,
		limiter:  rate.NewLimiter(logLinesPerSecond, logLineBurst),
		closed:   counter("closed"),
		refused:  counter("refused"),
		noMemory: counter("no_memory"),
		conns:    make(map[*Conn]struct{}),
	}
	o.Metrics.Func("intake_"+o.Name+"_open", func() any { return in.Open() })
	return in
}

// Open returns how many connections are open.
func (in *Intake) Open() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.conns)
}

// Attach adds the hooks to a server that is going to serve on a listener of Server.
func (in *Intake) Attach(s *http.Server) {
	connState, connContext, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := connOf(nc); c != nil && state == http.StateIdle {
			c.requestEnded()
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		if c := connOf(nc); c != nil {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
			c.requestBegan()
		}
		handler.ServeHTTP(w, r)
	})
}

type connKey struct{}

// Accepted wraps the listener whose connections are counted. Other listeners may wrap it in turn.
func (in *Intake) Accepted(l net.Listener) net.Listener { return &acceptListener{l, in} }

// Server wraps the outermost listener, on which the server accepts. What it reads there shows what a connection waits
// for.
func (in *Intake) Server(l net.Listener) net.Listener { return &serverListener{l} }

type acceptListener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener.
func (l *acceptListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, intake: l.intake}
		c.wait(connlimit.NextRequest)
		if l.intake.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

type serverListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: nc, conn: connOf(nc)}, nil
}

// add counts a new connection, and closes another one at the limit. It returns false if each of the others serves a
// request.
func (in *Intake) add(c *Conn) bool {
	if in.tryAdd(c) {
		return true
	}
	victim := in.victim()
	if victim == nil {
		in.refused.Add(1)
		in.log("closed a new connection", c)
		return false
	}
	in.closed.Add(1)
	in.log("closed a connection for a new one", victim)
	in.replace(victim, c)
	victim.cut()
	return true
}

// tryAdd counts a new connection if the limit allows it.
func (in *Intake) tryAdd(c *Conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.conns) >= in.opts.MaxConns {
		return false
	}
	in.conns[c] = struct{}{}
	return true
}

func (in *Intake) replace(old, with *Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.conns, old)
	in.conns[with] = struct{}{}
}

// victim returns the connection to close for a new one, or nil. in.mu isn't held while the connections are asked: what
// wraps them locks them while they close.
func (in *Intake) victim() *Conn {
	list := in.list()
	states := make([]connlimit.Conn, len(list))
	for i, c := range list {
		states[i] = c.state()
	}
	if i := connlimit.Victim(time.Now(), states); i >= 0 {
		return list[i]
	}
	return nil
}

func (in *Intake) list() []*Conn {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Collect(maps.Keys(in.conns))
}

func (in *Intake) remove(c *Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.conns, c)
}

func (in *Intake) log(message string, c *Conn) {
	if !in.limiter.Allow() {
		return
	}
	state := c.state()
	in.opts.Log.Warn(message, zap.String("listener", in.opts.Name), zap.Int("max_conns", in.opts.MaxConns),
		zap.Stringer("client", c.RemoteAddr()), zap.Uint8("wait", uint8(state.Wait)), zap.Duration("waited", time.Since(state.Since)))
}

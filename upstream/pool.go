package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// pool is this host's connections to one target.
type pool struct {
	owner *Pools
	addr  string
	// run is the target's run that the connections were made to: those to an earlier one
	// are dead, also where no reset said so.
	run ports.Incarnation

	mu     sync.Mutex
	open   int // connections open or being opened
	idle   []*conn
	closed bool
}

// conn is one connection with what is needed to tell whether a request left.
type conn struct {
	cc      *http.ClientConn
	counter *countingConn
	since   time.Time // when it became idle
	// keepFor is how long the target keeps the connection idle, 0 if not told.
	keepFor time.Duration
	busy    atomic.Bool
}

// take returns a connection for one request: the one that was used last, or a
// new one.
func (p *pool) take(ctx context.Context, o SendOptions) (*conn, error) {
	if c := p.takeIdle(o.Once); c != nil {
		return c, nil
	}
	if !p.reserve(o.MaxConns) {
		return nil, ErrConnLimit
	}
	c, err := p.dial(ctx)
	if err != nil {
		p.forget()
		return nil, err
	}
	return c, nil
}

func (p *pool) takeIdle(once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if c.cc.Available() > 0 && once && time.Since(c.since) >= p.owner.opts.OnceIdle {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable() {
			invariant.Check(c.busy.CompareAndSwap(false, true), invariant.OwnAnswer, "connection to %s used twice", p.addr)
			return c
		}
		p.open--
		go c.close()
	}
	return nil
}

// reserve makes room for a new connection, if need be by closing the one that
// was idle longest.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit <= 0 || p.open < limit {
		p.open++
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	go p.idle[0].close()
	p.idle = append(p.idle[:0], p.idle[1:]...)
	return true
}

func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	var counter *countingConn
	ctx = context.WithValue(ctx, counterKey{}, &counter)
	cc, err := p.owner.transport.NewClientConn(ctx, p.owner.scheme, p.addr)
	if err != nil {
		return nil, err
	}
	c := &conn{cc: cc, counter: counter}
	c.busy.Store(true)
	return c, nil
}

// put takes back a connection whose answer was read to its end.
func (p *pool) put(c *conn) {
	if c.cc.Available() == 0 {
		p.drop(c)
		return
	}
	c.since = time.Now()
	c.busy.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		go c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection that can not be used again.
func (p *pool) drop(c *conn) {
	p.forget()
	c.close()
}

func (c *conn) close() { _ = c.cc.Close() }

// closeMargin is how long before a target's own time-out a connection is no
// longer used: a request that crosses with the close is lost, and nobody can say
// whether it ran. It covers a delay of the process and of the network.
const closeMargin = time.Second

// expiring reports whether the target may be closing the connection.
func (c *conn) expiring() bool {
	return c.keepFor > 0 && time.Since(c.since) > c.keepFor-closeMargin
}

// usable reports whether an idle connection may carry another request.
func (c *conn) usable() bool { return c.cc.Available() > 0 && !c.expiring() }

// readKeepAlive takes in how long the target says that it keeps the connection.
func (c *conn) readKeepAlive(h http.Header) {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			c.keepFor = time.Duration(seconds) * time.Second
		}
	}
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.open--
		go c.close()
	}
	p.idle = nil
}

// closeUnusable closes the idle connections that became idle before t, that their target
// closed, or that it is about to close.
//
// Targets close what is idle, so that a host which seldom asks many of them would keep mostly
// dead connections.
func (p *pool) closeUnusable(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.usable() && !c.since.Before(t) {
			return false
		}
		p.open--
		go c.close()
		return true
	})
}

type counterKey struct{}

// countingConn counts the writes begun on a connection. A write counts from its
// beginning: a caller that gave up while it was under way can not know how much
// of it left.
type countingConn struct {
	net.Conn
	writes atomic.Uint64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func dialCounting(ctx context.Context, dial dialFunc, network, addr string) (net.Conn, error) {
	raw, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: raw}
	if slot, ok := ctx.Value(counterKey{}).(**countingConn); ok {
		*slot = c
	}
	return c, nil
}

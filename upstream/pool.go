package upstream

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/ports"
)

// pool holds this host's connections to one target.
type pool struct {
	owner *Pools
	// target is the target as it was when the pool was created.
	target blackboard.Target
	addr   string
	// incarnation is the run of the target that the connections belong to. Connections to an
	// earlier run are dead even if they have not been reset.
	incarnation ports.Incarnation

	mu     sync.Mutex
	open   int // connections open or being opened
	idle   []*conn
	closed bool
	// path is this host's own path to the target.
	path directpath.State
	// answeredAt is when the target last answered on a connection of this host's own.
	answeredAt time.Time
	// suspectedAt is when the path was last checked because the target did not answer.
	suspectedAt time.Time
	// hasRemainder is set while an opening goes on whose request has stopped waiting, see remainder.
	hasRemainder bool
	// verifying is set while it is being found out whether the target is alive, and
	// nextVerification is when that may be done again.
	verifying        bool
	nextVerification time.Time
	// unansweredOnUsed is the number of requests on connections used before that got no answer in
	// time since the target last answered.
	unansweredOnUsed int
}

// conn is a connection that counts its writes, which shows whether a request was sent.
type conn struct {
	cc      *http.ClientConn
	counter *countingConn
	// socket is the connection's socket; nil for one through another host.
	socket syscall.RawConn
	// via is the host that carries the connection; empty if this host opened it itself.
	via       ports.HostID
	opened    time.Time // when it was established
	used      bool      // whether it has carried a response
	idleSince time.Time // when it became idle
	// idleTimeout is how long the target keeps the connection idle; 0 if unknown.
	idleTimeout time.Duration
	busy        atomic.Bool
	// reused is set once the connection has been taken from the idle ones.
	reused bool
	// wait is the wait for the response to the current request.
	wait *responseWait
}

// acquire returns a connection for one request: the most recently used idle one, or a new one.
func (p *pool) acquire(ctx context.Context, o SendOptions) (*conn, error) {
	p.checkPath(o)
	if c := p.acquireIdle(o.NonIdempotent); c != nil {
		c.reused = true
		return c, nil
	}
	if !p.owner.makeRoom() || !p.reserve(o.MaxConns) {
		return nil, ErrConnLimit
	}
	usable := o.Usable != nil && o.Usable()
	c, err := p.connect(ctx, o.MaxConns, func() bool { return !usable || o.Usable() })
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	if usable && !o.Usable() {
		p.discard(c)
		return nil, ErrTargetLeft
	}
	return c, nil
}

func (p *pool) acquireIdle(nonIdempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if c.cc.Available() > 0 && nonIdempotent && time.Since(c.idleSince) >= p.owner.opts.NonIdempotentMaxIdle {
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

// reserve makes room for a new connection, by closing the one that has been idle longest if
// necessary. It returns false at the limit if no connection is idle.
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

func (p *pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release returns a connection whose response was read to its end to the pool.
func (p *pool) release(c *conn) {
	if !c.wait.end() || c.cc.Available() == 0 || c.retired() || c.via != "" && !p.pathLost() {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
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

// discard closes a connection that can't be used again.
func (p *pool) discard(c *conn) {
	p.releaseSlot()
	c.close()
}

func (c *conn) close() {
	c.wait.end()
	_ = c.cc.Close()
}

// closeMargin is how long before the target's idle timeout a connection is no longer used. If a
// request crosses with the close, it is lost and nobody can tell whether it ran. The margin covers
// delays of the process and the network.
const closeMargin = time.Second

// expiring reports whether the target may be closing the connection.
func (c *conn) expiring() bool {
	return c.idleTimeout > 0 && time.Since(c.idleSince) > c.idleTimeout-closeMargin
}

// usable reports whether an idle connection may carry another request.
func (c *conn) usable() bool {
	return c.cc.Available() > 0 && !c.expiring() && !c.retired() && !hasUnread(c.socket)
}

// readKeepAlive reads the target's idle timeout from the Keep-Alive header.
func (c *conn) readKeepAlive(h http.Header) {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			c.idleTimeout = time.Duration(seconds) * time.Second
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

// closeUnusable closes the idle connections that became idle before t and those that their target
// has closed or is about to close.
//
// Targets close idle connections, so a host that rarely sends requests to many targets would
// otherwise hold mostly dead connections.
func (p *pool) closeUnusable(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.usable() && !c.idleSince.Before(t) {
			return false
		}
		p.open--
		go c.close()
		return true
	})
}

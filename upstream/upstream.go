// Package upstream maintains the connection pools to targets and sends single attempts over them.
// It never retries a request. net/http's Transport does so on its own when a kept-alive connection
// fails, so each attempt is sent on an http.ClientConn, which does not. For every failed attempt
// the package reports whether any byte of the request may have been sent.
package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/ports"
)

// ErrConnLimit means that this host's share of the target's connections is in use.
var ErrConnLimit = errors.New("connection limit of the target reached")

// ErrTargetLeft means that SendOptions.Usable changed to false.
var ErrTargetLeft = errors.New("target left while the connection was opened")

// ErrMalformed means that what the target sent is no response in the protocol.
var ErrMalformed = errors.New("status or field name not allowed by HTTP")

// connBufferSize is the size in bytes of a connection's buffers, which hold the header of a
// request or response. It is small because a host keeps connections to hundreds of targets;
// bodies bypass the buffers.
const connBufferSize = 4 << 10

// Result is the result of one attempt. Either Response or Err is set.
type Result struct {
	// Response has a body that must be closed.
	Response *http.Response
	// Sent is set if any byte of the request may have left this host.
	Sent bool
	// Err is marked with ErrPathFault if the failure says nothing about the target.
	Err error
	// Via is the host through which the request was sent; empty if this host sent it itself.
	Via ports.HostID
	// Opened is when the connection was opened on which the target responded; the zero time without a
	// response.
	Opened time.Time
}

// SendOptions controls the use of connections by one attempt.
type SendOptions struct {
	// MaxConns limits this host's connections to the target; 0 means no limit.
	MaxConns int
	// NonIdempotent marks a request that must not be repeated. It is never sent on a connection
	// that was idle for longer than Options.NonIdempotentMaxIdle: the target may be closing that
	// connection, and if the request crosses with the close, it is lost and nobody can tell
	// whether it ran.
	NonIdempotent bool
	// Usable, if set, reports whether the target may get requests. It is asked before and after a
	// new connection is opened, which takes seconds if packets are lost. If the target may get no
	// more requests by then, the request isn't sent.
	Usable func() bool
	// RequestID names the request in the log of a host that carries it; empty if it has none.
	RequestID string
	// BeforeSend, if set, is called once there is a connection, to complete the request with what
	// changes while one is opened. It is called again if the request is sent on another one.
	BeforeSend func()
}

// RoundTripper sends single attempts to targets.
type RoundTripper interface {
	RoundTrip(req *http.Request, t blackboard.Target, o SendOptions) Result
}

// Options configures Pools. Zero values are replaced by the defaults given.
type Options struct {
	// DialTimeout limits the time to open a connection; default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; default 30 s.
	IdleTimeout time.Duration
	// NonIdempotentMaxIdle is described at SendOptions.NonIdempotent; default 500 ms.
	NonIdempotentMaxIdle time.Duration
	// Source is the local address of connections to targets; nil lets the system choose one.
	Source net.IP
	// Dial opens connections to targets; nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Relay opens connections through other hosts where this one does not reach a target; nil
	// means that there are none.
	Relay Relay
	// OnPathLost, if set, is called when this host's own path to a target is found to be lost. It
	// must not block.
	OnPathLost func(t blackboard.Target)
	// OnReached, if set, is called when another host reaches a target whose connections to this
	// one broke. It must not block.
	OnReached func(t blackboard.Target)
	// Metrics and Log receive what becomes known of the paths to targets; nil discards it.
	Metrics *metrics.Set
	Log     *zap.Logger
	// MaxConns limits the connections to all targets together, including those through other hosts; 0
	// means no limit.
	MaxConns int
	// MaxResponseHeader limits the response header in bytes; default 64 KiB.
	MaxResponseHeader int64
	// TLS is the configuration for connections to targets; nil means plain TCP.
	TLS *tls.Config
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.NonIdempotentMaxIdle == 0 {
		o.NonIdempotentMaxIdle = 500 * time.Millisecond
	}
	if o.Dial == nil {
		dial := dialerFrom(o.DialTimeout, o.Source)
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.MaxResponseHeader == 0 {
		o.MaxResponseHeader = 64 << 10
	}
	return o
}

// Pools manages one connection pool per target. It is safe for concurrent use.
type Pools struct {
	opts      Options
	scheme    string
	transport *http.Transport
	paths     *pathLog

	// open counts the connections to all targets.
	open atomic.Int64

	reachMu sync.Mutex
	reach   directpath.Host

	mu    sync.Mutex
	pools map[ports.HostID]*pool
}

var _ RoundTripper = (*Pools)(nil)

// New returns Pools without connections.
func New(o Options) *Pools {
	o = o.withDefaults()
	p := &Pools{opts: o, scheme: "http", pools: make(map[ports.HostID]*pool), paths: newPathLog(o)}
	if o.TLS != nil {
		p.scheme = "https"
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return p.dialCounting(ctx, addr)
		},
		TLSClientConfig:        o.TLS,
		TLSHandshakeTimeout:    o.DialTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: o.MaxResponseHeader,
		ReadBufferSize:         connBufferSize,
		WriteBufferSize:        connBufferSize,
		Protocols:              protocols,
	}
	return p
}

// RoundTrip sends a request to a target on an idle connection or a new one. If a connection that was
// idle turns out to be closed before any byte of a request without a body was sent, the request is
// sent on another one.
func (p *Pools) RoundTrip(req *http.Request, t blackboard.Target, o SendOptions) Result {
	for {
		res, stale := p.roundTrip(req, t, o)
		if !stale {
			return res
		}
		p.paths.stale.Add(1)
	}
}

// roundTrip sends a request on one connection. It reports whether the request may be sent on another
// one, because this one was idle before and took no byte.
func (p *Pools) roundTrip(req *http.Request, t blackboard.Target, o SendOptions) (res Result, stale bool) {
	pl := p.pool(t)
	c, err := pl.acquire(req.Context(), o)
	if err != nil {
		return Result{Err: err}, false
	}
	req.URL.Scheme = p.scheme
	req.URL.Host = t.Addr
	if o.BeforeSend != nil {
		o.BeforeSend()
	}
	begin := time.Now()
	before := c.counter.writes.Load()
	c.announce(o.RequestID)
	c.wait.begin()
	resp, err := c.cc.RoundTrip(req)
	if err != nil {
		sent := c.counter.writes.Load() != before
		pl.discard(c)
		if CauseOf(err) == CauseTimeout && c.used {
			pl.noteStalled(begin)
		}
		if c.via == "" && CauseOf(err) == CauseTimeout {
			pl.suspect(begin, o)
		}
		stale = c.reused && !sent && (req.Body == nil || req.Body == http.NoBody) && req.Context().Err() == nil
		return Result{Sent: sent, Err: pl.markRequestFault(req.Context(), c, begin, err), Via: c.via}, stale
	}
	if !wellFormed(resp) {
		pl.discard(c)
		return Result{Sent: true, Err: errors.Wrapf(ErrMalformed, "status %d", resp.StatusCode), Via: c.via}, false
	}
	pl.answered(c)
	invariant.Check(resp.Request == req, invariant.OwnAnswer, "target=%s answered another request", t.ID)
	c.readKeepAlive(resp.Header)
	resp.Body = newResponseBody(req.Context(), resp, pl, c)
	return Result{Response: resp, Sent: true, Via: c.via, Opened: c.opened}, false
}

func (p *Pools) pool(t blackboard.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[t.ID]
	if pl == nil || pl.addr != t.Addr || t.Incarnation.Replaces(pl.incarnation) {
		if pl != nil {
			pl.closeIdle()
		}
		pl = &pool{owner: p, target: t, addr: t.Addr, incarnation: t.Incarnation}
		p.pools[t.ID] = pl
	}
	return pl
}

// Retain closes the idle connections of targets for which keep returns false. For the other
// targets it closes connections that were unused for the idle timeout or can't be used again.
func (p *Pools) Retain(keep func(ports.HostID) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pl := range p.pools {
		if !keep(id) {
			pl.closeIdle()
			delete(p.pools, id)
			continue
		}
		pl.closeUnusable(now.Add(-p.opts.IdleTimeout))
	}
}

// Close closes all idle connections. Connections in use are closed when their response ends.
func (p *Pools) Close() {
	p.Retain(func(ports.HostID) bool { return false })
}

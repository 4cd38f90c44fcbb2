// Package upstream keeps the connections to targets and sends single attempts
// over them. It never repeats a request: net/http's Transport does so by itself
// when a kept-alive connection fails, so every attempt is sent here on one
// http.ClientConn, which does not.
package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// ErrConnLimit says that this host holds its share of the target's connections.
var ErrConnLimit = errors.New("connection limit of the target reached")

// connBufferSize holds the header of a request or an answer. A host keeps connections to
// hundreds of targets, and bodies pass by the buffer.
const connBufferSize = 4 << 10

// Result is how one attempt went. Either Response or Err is set.
type Result struct {
	// Response's body must be closed.
	Response *http.Response
	// Sent is true once any byte of the request may have left this host.
	Sent bool
	Err  error
}

// SendOptions says how one attempt may use connections.
type SendOptions struct {
	// MaxConns bounds this host's connections to the target.
	MaxConns int
	// Once marks a request that may not be repeated. It never goes out on a
	// connection that was idle for longer than Options.OnceIdle: the target may
	// be closing that one, and a request that crosses with the close is lost
	// with nobody able to say whether it ran.
	Once bool
}

// RoundTripper sends one attempt to one target.
type RoundTripper interface {
	RoundTrip(req *http.Request, t blackboard.Target, o SendOptions) Result
}

// Options of Pools; zero values take the defaults named.
type Options struct {
	// DialTimeout bounds a new connection; 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes a connection unused for this long; 30 s.
	IdleTimeout time.Duration
	// OnceIdle is explained at SendOptions.Once; 500 ms.
	OnceIdle time.Duration
	// MaxResponseHeader bounds the header of an answer in bytes; 64 KiB.
	MaxResponseHeader int64
	// TLS is used towards targets; nil means plain TCP.
	TLS *tls.Config
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.OnceIdle == 0 {
		o.OnceIdle = 500 * time.Millisecond
	}
	if o.MaxResponseHeader == 0 {
		o.MaxResponseHeader = 64 << 10
	}
	return o
}

// Pools holds a pool of connections for each target.
type Pools struct {
	opts      Options
	scheme    string
	transport *http.Transport

	mu    sync.Mutex
	pools map[ports.HostID]*pool
}

var _ RoundTripper = (*Pools)(nil)

// New returns pools without connections.
func New(o Options) *Pools {
	o = o.withDefaults()
	p := &Pools{opts: o, scheme: "http", pools: make(map[ports.HostID]*pool)}
	if o.TLS != nil {
		p.scheme = "https"
	}
	dial := Dialer(o.DialTimeout)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialCounting(ctx, dial, network, addr)
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

// RoundTrip sends the request to the target on a kept connection or a new one.
func (p *Pools) RoundTrip(req *http.Request, t blackboard.Target, o SendOptions) Result {
	pl := p.pool(t)
	c, err := pl.take(req.Context(), o)
	if err != nil {
		return Result{Err: err}
	}
	req.URL.Scheme = p.scheme
	req.URL.Host = t.Addr
	before := c.counter.writes.Load()
	resp, err := c.cc.RoundTrip(req)
	if err != nil {
		sent := c.counter.writes.Load() != before
		pl.drop(c)
		return Result{Sent: sent, Err: err}
	}
	invariant.Check(resp.Request == req, invariant.OwnAnswer, "target=%s answered another request", t.ID)
	c.readKeepAlive(resp.Header)
	resp.Body = &body{ReadCloser: resp.Body, pool: pl, conn: c}
	return Result{Response: resp, Sent: true}
}

func (p *Pools) pool(t blackboard.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[t.ID]
	if pl == nil || pl.addr != t.Addr || t.Incarnation.Replaces(pl.run) {
		if pl != nil {
			pl.closeIdle()
		}
		pl = &pool{owner: p, addr: t.Addr, run: t.Incarnation}
		p.pools[t.ID] = pl
	}
	return pl
}

// Retain closes the idle connections of targets that are not kept any more, those of all
// targets that were unused for the idle timeout, and those that can not be used again.
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

// Close closes all idle connections; those in use close when their answer ends.
func (p *Pools) Close() {
	p.Retain(func(ports.HostID) bool { return false })
}

// Package ledger guarantees that a call with an idempotency key runs at most once
// across all hosts, and reports what can be proven about its outcome.
//
// Before a host sends such a call to a target, it must acquire the claim of the
// key. Claims of keys chosen by callers are rows in the platform's table; claims of
// keys issued by a host are entries in that host's memory. The holder ends its
// claim with the response, with a proof that nothing was sent (not-run), or as
// undecided; later requests with the same key are answered from that record. A
// claim is never taken from its holder, however long the holder is silent, so
// correctness depends neither on leases nor on synchronized clocks.
package ledger

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/ledger/batch"
	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Digest identifies a request by its method, path and body.
type Digest [16]byte

// Key is the idempotency key of a request, together with what it applies to.
type Key struct {
	Workspace string
	Service   string
	// Caller identifies the caller. Only a digest of it is stored.
	Caller string
	// Value is the key as received from the caller.
	Value  string
	Digest Digest
	// DigestKnown is false if the body was too large to be buffered and hashed
	// before sending. Such a request never gets a stored response.
	DigestKnown bool
	// Arrived is when the request reached this host; zero means now.
	Arrived time.Time
}

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Deps are the dependencies of a Ledger. Metrics and Log may be nil.
type Deps struct {
	Table ports.Table
	Link  peer.Link
	Host  ports.HostID
	// Incarnation is unique to each run of the daemon on a host.
	Incarnation uint64
	Metrics     *metrics.Set
	Log         *zap.Logger
	// Coordinator returns the host that commits the writes of all hosts, as
	// currently known to this host. Hosts may disagree. If nil, each host commits
	// its own writes.
	Coordinator func() ports.HostID
	Options     Options
}

// Ledger manages the claims of one host. It is safe for concurrent use.
type Ledger struct {
	host        ports.HostID
	incarnation uint64
	opts        Options
	log         *zap.Logger
	counts      *expvar.Map
	signer      *keys.Signer
	writer      *batch.Writer
	pool        *pool
	table       *tableStore
	issuer      *issuer
	remote      *remoteStore
	runLog      *runLog
	serial      atomic.Uint64
	// pendingBytes is the total size of the responses that are not persisted yet.
	pendingBytes atomic.Int64

	mu     sync.Mutex
	active map[string]*Claim
}

// New returns a ledger and registers its handlers with the link, which must not be
// serving yet. Begin works only while Run is running.
func New(d Deps) *Ledger {
	if d.Metrics == nil {
		d.Metrics = metrics.New()
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	opts := d.Options.withDefaults()
	l := &Ledger{
		host:        d.Host,
		incarnation: d.Incarnation,
		opts:        opts,
		log:         d.Log,
		counts:      d.Metrics.Map("ledger"),
		signer:      keys.NewSigner(opts.ClusterKeys...),
		runLog:      newRunLog(),
		active:      make(map[string]*Claim),
	}
	l.pool = newPool(l, d)
	l.writer = batch.NewWriter(d.Table,
		batch.Config{Rate: opts.WriteRate, Forward: l.pool, Count: l.counts.Add})
	l.pool.serve(d.Link)
	l.table = &tableStore{l: l, table: d.Table}
	l.issuer = newIssuer(l)
	l.remote = newRemoteStore(l, d.Link)
	l.issuer.serve(d.Link)
	d.Metrics.Func("ledger_backlog", func() any { return l.writer.Backlog() })
	return l
}

// Run commits writes, sweeps expired rows and serves issued keys until ctx ends. It
// always returns nil.
func (l *Ledger) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.writer.Run(ctx) })
	g.Go(func() error { return l.pool.run(ctx) })
	g.Go(func() error { return l.table.sweep(ctx) })
	g.Go(func() error { return l.issuer.expire(ctx) })
	g.Go(func() error { return l.remote.run(ctx) })
	return g.Wait()
}

// SetWriteRate sets this host's share of the table's transactions per second.
func (l *Ledger) SetWriteRate(perSecond float64) { l.pool.setRate(perSecond) }

// Drain waits until the end of every claim of this host is persisted, or until ctx
// ends, and reports whether nothing is left. Stopping without draining is safe; it
// only loses responses that later requests with the same key would have received.
func (l *Ledger) Drain(ctx context.Context) bool {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		if l.pending() == 0 {
			return true
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return l.pending() == 0
		}
	}
}

const drainPoll = 5 * time.Millisecond

func (l *Ledger) pending() int {
	l.mu.Lock()
	n := len(l.active)
	l.mu.Unlock()
	return n + l.writer.Backlog()
}

// Issue returns a new key for one call, or "" if no cluster key is configured. The
// key is invalid once this incarnation of the host ends.
func (l *Ledger) Issue(workspace, service, caller string) string {
	b := keys.Binding{Workspace: workspace, Service: service, Caller: caller}
	return l.issuer.issue(b)
}

// Begin returns exactly one of: a claim, whose holder may send the request; a
// stored response; or the result to report to the caller.
func (l *Ledger) Begin(ctx context.Context, k Key) (*Claim, *Response, outcome.Result) {
	if k.Arrived.IsZero() {
		k.Arrived = time.Now()
	}
	c, refusal := l.newClaim(k)
	if c == nil {
		return nil, nil, l.countResult(refusal)
	}
	if other := l.addActive(c); other != nil {
		return l.resolve(l.judgeActive(other, k))
	}
	v := c.store.take(ctx, c)
	if !v.take {
		return l.resolve(v)
	}
	c.markOwned(phaseHeld)
	l.counts.Add("claims_held", 1)
	return c, nil, outcome.Result{}
}

// judgeActive decides on a request whose key has an active claim on this host.
//
// A claim may have been given up without ever being confirmed, because the reply
// with the confirmation was lost. Another claim may hold the key then, so the state
// "nothing was sent" of this claim must not be reported as not-run.
func (l *Ledger) judgeActive(other *Claim, k Key) verdict {
	r, owned := other.record(), other.isOwned()
	if !owned {
		r.State = stateClaimed
	}
	v := l.judge(r, k, time.Now())
	if v.take {
		return resultVerdict(outcome.Uncertain(outcome.ReasonKeyInProgress))
	}
	return v
}

func (l *Ledger) resolve(v verdict) (*Claim, *Response, outcome.Result) {
	if v.response != nil {
		l.counts.Add("stored_answers", 1)
		return nil, v.response, outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonStored}
	}
	return nil, nil, l.countResult(v.result)
}

func (l *Ledger) countResult(r outcome.Result) outcome.Result {
	l.counts.Add("told_"+string(r.Reason), 1)
	return r
}

// newClaim parses the key and returns an unconfirmed claim, or the result to
// report.
//
// A key is refused as not-run only if every host must refuse it at all times.
// Otherwise the result is unknown: a key that has expired by now may have run
// earlier, and a key whose signature is invalid here may be valid on a host that
// already has the next cluster key.
func (l *Ledger) newClaim(k Key) (*Claim, outcome.Result) {
	parsed, err := keys.Parse(k.Value)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonKeyMalformed)
	}
	c := &Claim{l: l, key: k, id: l.newClaimID(), state: stateClaimed, createdAt: time.Now().Round(0)}
	c.stamp = c.createdAt
	switch parsed.Kind {
	case keys.Issued:
		return l.newIssuedClaim(c)
	case keys.Timed:
		age := time.Since(parsed.Time)
		if age > l.opts.Retention {
			return nil, outcome.Uncertain(outcome.ReasonKeyExpired)
		}
		if age < -clockTolerance {
			return nil, outcome.Uncertain(outcome.ReasonKeyMalformed)
		}
	}
	c.row = rowName(k, parsed)
	c.maxHold = l.opts.maxHold(parsed.Kind)
	c.retention = l.opts.keyRetention(parsed.Kind)
	c.store = l.table
	return c, outcome.Result{}
}

func (l *Ledger) newIssuedClaim(c *Claim) (*Claim, outcome.Result) {
	b := keys.Binding{Workspace: c.key.Workspace, Service: c.key.Service, Caller: c.key.Caller}
	id, err := l.signer.Verify(b, c.key.Value)
	if err != nil {
		return nil, outcome.Uncertain(outcome.ReasonKeyMalformed)
	}
	c.issued = id
	c.row = issuedName(id)
	c.maxHold = l.opts.IssuedWindow
	c.retention = l.opts.keyRetention(keys.Issued)
	c.store = l.remote
	if id.Issuer == l.host {
		c.store = l.issuer
	}
	return c, outcome.Result{}
}

func (l *Ledger) newClaimID() claimID {
	return claimID{Host: l.host, Incarnation: l.incarnation, Serial: l.serial.Add(1)}
}

// addActive makes c the only active claim of its key on this host, or returns the
// one that already is.
func (l *Ledger) addActive(c *Claim) *Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.active[c.row]; other != nil {
		return other
	}
	l.active[c.row] = c
	return nil
}

// removeActive removes a claim that is persisted or was never acquired.
func (l *Ledger) removeActive(c *Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[c.row] == c {
		delete(l.active, c.row)
	}
}

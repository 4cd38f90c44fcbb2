// Package ledger makes sure that a call with an idempotency key runs at most
// once over all hosts, and says what can be shown about it. A call is sent only
// by the holder of the key's claim. Claims are rows of the platform's table or,
// for keys that a host issued itself, entries in that host's memory. A claim is
// never taken from its holder, however long the holder is silent, so nothing
// hangs on a lease or on clocks that agree.
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

// Key is an idempotency key with what it is used for.
type Key struct {
	Workspace string
	Service   string
	// Caller is who asks. Only a digest of it is kept.
	Caller string
	// Value is the key as the caller sent it.
	Value  string
	Digest Digest
	// DigestKnown is false if the body was too large to be read beforehand. No
	// stored answer is given for such a request.
	DigestKnown bool
	// Arrived is when the call reached this host; zero means now.
	Arrived time.Time
}

// Response is a target's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Deps is what a ledger works with. Metrics and Log may be nil.
type Deps struct {
	Table ports.Table
	Link  peer.Link
	Host  ports.HostID
	// Incarnation differs between any two runs of a daemon on a host.
	Incarnation uint64
	Metrics     *metrics.Set
	Log         *zap.Logger
	// Coordinator returns the host that commits the writes of all hosts, by this
	// host's present view; nil has each host write for itself. Hosts may disagree.
	Coordinator func() ports.HostID
	Options     Options
}

// Ledger holds the claims of one host. It is safe for concurrent use.
type Ledger struct {
	host        ports.HostID
	incarnation uint64
	opts        Options
	log         *zap.Logger
	counts      *expvar.Map
	sealer      *keys.Sealer
	writer      *batch.Writer
	pool        *pool
	table       *tableStore
	issuer      *issuer
	remote      *remoteStore
	runs        *runLog
	serial      atomic.Uint64
	// waiting is the size in bytes of the answers not written down yet.
	waiting atomic.Int64

	mu     sync.Mutex
	active map[string]*Claim
}

// New returns a ledger and registers its handlers with the link, which must
// not serve yet. Claims are made while Run runs.
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
		sealer:      keys.NewSealer(opts.ClusterKeys...),
		runs:        newRunLog(),
		active:      make(map[string]*Claim),
	}
	l.pool = newPool(l, d)
	l.writer = batch.NewWriter(d.Table, batch.Config{Rate: opts.WriteRate, Forward: l.pool, Count: l.counts.Add})
	l.pool.serve(d.Link)
	l.table = &tableStore{l: l, table: d.Table}
	l.issuer = newIssuer(l)
	l.remote = newRemoteStore(l, d.Link)
	l.issuer.serve(d.Link)
	d.Metrics.Func("ledger_backlog", func() any { return l.writer.Backlog() })
	return l
}

// Run works until ctx ends. It returns nil.
func (l *Ledger) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.writer.Run(ctx) })
	g.Go(func() error { return l.pool.run(ctx) })
	g.Go(func() error { return l.table.sweep(ctx) })
	g.Go(func() error { return l.issuer.expire(ctx) })
	g.Go(func() error { return l.remote.run(ctx) })
	return g.Wait()
}

// SetWriteRate replaces this host's share of the table's transactions a second.
func (l *Ledger) SetWriteRate(perSecond float64) { l.pool.setRate(perSecond) }

// Drain waits until what became of every claim of this host is written down,
// or until ctx ends; it reports whether nothing is left. A stop that does not
// drain loses no safety, only answers that later sends would have got.
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

// Issue returns a new key of this host for one call, or "" if there is no
// cluster key. The key dies with this incarnation of the host.
func (l *Ledger) Issue(workspace, service, caller string) string {
	b := keys.Binding{Workspace: workspace, Service: service, Caller: caller}
	return l.issuer.issue(b)
}

// Begin returns exactly one of: a claim, whose holder may send; a stored answer;
// or what to tell the caller.
func (l *Ledger) Begin(ctx context.Context, k Key) (*Claim, *Response, outcome.Result) {
	if k.Arrived.IsZero() {
		k.Arrived = time.Now()
	}
	c, refusal := l.open(k)
	if c == nil {
		return nil, nil, l.told(refusal)
	}
	if other := l.admit(c); other != nil {
		return l.answer(l.judgeActive(other, k))
	}
	v := c.store.take(ctx, c)
	if !v.take {
		return l.answer(v)
	}
	c.own(phaseHeld)
	l.counts.Add("claims_held", 1)
	return c, nil, outcome.Result{}
}

// judgeActive says what a claim of this host that has not ended yet means for
// another send of its key.
//
// A claim may be given up without having been held: the reply that would have
// said so was lost. Such a claim says nothing of the key, which another claim
// may hold, so its word that nothing was sent must not become a not-run.
func (l *Ledger) judgeActive(other *Claim, k Key) verdict {
	r, owned := other.record(), other.isOwned()
	if !owned {
		r.State = stateClaimed
	}
	v := l.judge(r, k, time.Now())
	if v.take {
		return tell(outcome.Uncertain(outcome.ReasonKeyInProgress))
	}
	return v
}

func (l *Ledger) answer(v verdict) (*Claim, *Response, outcome.Result) {
	if v.answer != nil {
		l.counts.Add("stored_answers", 1)
		return nil, v.answer, outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonStored}
	}
	return nil, nil, l.told(v.result)
}

func (l *Ledger) told(r outcome.Result) outcome.Result {
	l.counts.Add("told_"+string(r.Reason), 1)
	return r
}

// open reads the key and returns a claim that nobody holds yet, or a refusal.
//
// A refusal is unknown unless every host must refuse the key at all times: a
// key that is too old now may have run when it was new, and one that does not
// check here may check on a host that already has the next cluster key.
func (l *Ledger) open(k Key) (*Claim, outcome.Result) {
	parsed, err := keys.Parse(k.Value)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonKeyMalformed)
	}
	c := &Claim{l: l, key: k, id: l.newClaimID(), state: stateClaimed, made: time.Now().Round(0)}
	c.stamp = c.made
	switch parsed.Kind {
	case keys.Issued:
		return l.openIssued(c)
	case keys.Timed:
		age := time.Since(parsed.Time)
		if age > l.opts.Retention {
			return nil, outcome.Uncertain(outcome.ReasonKeyExpired)
		}
		if age < -clockSlack {
			return nil, outcome.Uncertain(outcome.ReasonKeyMalformed)
		}
	}
	c.row = rowName(k, parsed)
	c.maxHold = l.opts.hold(parsed.Kind)
	c.retention = l.opts.remember(parsed.Kind)
	c.store = l.table
	return c, outcome.Result{}
}

func (l *Ledger) openIssued(c *Claim) (*Claim, outcome.Result) {
	b := keys.Binding{Workspace: c.key.Workspace, Service: c.key.Service, Caller: c.key.Caller}
	id, err := l.sealer.Open(b, c.key.Value)
	if err != nil {
		return nil, outcome.Uncertain(outcome.ReasonKeyMalformed)
	}
	c.issued = id
	c.row = issuedName(id)
	c.maxHold = l.opts.IssuedWindow
	c.retention = l.opts.remember(keys.Issued)
	c.store = l.remote
	if id.Issuer == l.host {
		c.store = l.issuer
	}
	return c, outcome.Result{}
}

func (l *Ledger) newClaimID() claimID {
	return claimID{Host: l.host, Incarnation: l.incarnation, Serial: l.serial.Add(1)}
}

// admit makes c this host's only claim for its key, or returns the one that is.
func (l *Ledger) admit(c *Claim) *Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.active[c.row]; other != nil {
		return other
	}
	l.active[c.row] = c
	return nil
}

// forget ends a claim that is written down, or that was never made.
func (l *Ledger) forget(c *Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[c.row] == c {
		delete(l.active, c.row)
	}
}

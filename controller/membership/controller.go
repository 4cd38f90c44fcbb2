// Package membership maintains this host's view of the entry hosts and publishes it on
// the blackboard.
//
// The view merges the platform's host list, which lags, with a failure detector in the
// manner of SWIM. Each host describes itself in a versioned Record. Hosts send
// heartbeats: in a small cluster each host to all others (mesh), in a larger one to a
// few successors on a hash ring. A host whose heartbeats stop is pinged directly and
// through other hosts before it is suspected. Changes spread by gossip, and periodic
// comparisons of digests (anti-entropy) repair what was lost.
//
// Views are eventually consistent and may differ between hosts at any time. Roles that
// are assigned by them are advisory; no safety property may depend on them.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Timing of the protocol. The hosts that monitor a crashed host suspect it within the
// sum of heartbeatTimeout, heartbeatInterval and probeTimeout.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1600 * time.Millisecond
	pingTimeout       = 400 * time.Millisecond
	probeTimeout      = 2 * pingTimeout
	// pauseThreshold is the gap between two rounds from which on this host takes itself
	// for having been paused. By then others may have suspected it.
	pauseThreshold      = heartbeatTimeout
	syncInterval        = time.Second
	syncTimeout         = time.Second
	gossipDelay         = 20 * time.Millisecond
	expireAfter         = 30 * time.Second
	resumeRetryInterval = 250 * time.Millisecond
	// pollInterval is the minimum interval between two reads of the list. pollPerHost
	// extends it with the number of hosts, so that all hosts together read the list
	// at most 50 times a second.
	pollInterval = time.Second
	pollPerHost  = 20 * time.Millisecond
	listTimeout  = 3 * time.Second
	// indirectPings is the number of other hosts asked to ping a host that is silent.
	indirectPings = 3
)

// PeerSetter receives the addresses of the hosts. peer.Node implements it.
type PeerSetter interface {
	SetPeers(hosts []ports.Host)
}

// Options of a Controller.
type Options struct {
	// Host describes this host to the others.
	Host ports.Host
	// Incarnation must be greater than that of any earlier run on this host, see
	// NewIncarnation.
	Incarnation uint64
	Link        peer.Link
	// Peers receives the addresses of the hosts in the view; it may be nil.
	Peers PeerSetter
	Board *blackboard.Board
	List  ports.HostList
	// OnList is called with each new list, for the controller of targets; it may be
	// nil.
	OnList  func(ports.HostSnapshot)
	Log     *zap.Logger
	Metrics *metrics.Set

	// beforeRound is called before each round; tests block in it to simulate a pause of the
	// process.
	beforeRound func()
	rules       rules
}

// NewIncarnation returns the incarnation of a run that starts at now.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixMicro()) }

// Controller maintains the view and writes Board.Members.
type Controller struct {
	opts  Options
	count counters
	// wake starts a round of gossip.
	wake chan struct{}

	mu   sync.Mutex
	view *view
	rng  *rand.Rand
	// changed holds the hosts whose records are due to be gossiped.
	changed map[ports.HostID]struct{}
	// peers is what Options.Peers was last given.
	peers []ports.Host
	// lastRun is the time of the last round, for detecting pauses.
	lastRun time.Time
	// synced is the time of the last comparison of views.
	synced time.Time
}

// New returns a controller and registers its handlers on the link.
func New(opts Options) *Controller {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	rec := recordOf(opts.Host)
	rec.Incarnation = opts.Incarnation
	c := &Controller{
		opts:    opts,
		count:   newCounters(opts.Metrics),
		wake:    make(chan struct{}, 1),
		view:    newView(rec, time.Now()),
		rng:     rand.New(rand.NewPCG(xxhash.Sum64String(string(opts.Host.ID)), opts.Incarnation)),
		changed: make(map[ports.HostID]struct{}),
	}
	c.view.rules = opts.rules
	c.register()
	c.publishLocked()
	return c
}

// Run runs the protocol until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return c.opts.Board.Status.Watch(ctx, func(blackboard.Status) { c.refreshOwn() })
	})
	g.Go(func() error {
		return c.opts.Board.Config.Watch(ctx, func(*declare.Config) { c.refreshOwn() })
	})
	g.Go(func() error { c.pollList(ctx); return nil })
	g.Go(func() error { c.runGossip(ctx); return nil })
	g.Go(func() error { c.runRounds(ctx, g); return nil })
	return g.Wait()
}

// refreshOwn updates this host's own record from the blackboard.
func (c *Controller) refreshOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshOwnLocked()
}

func (c *Controller) refreshOwnLocked() {
	status := c.opts.Board.Status.Load()
	seq := c.opts.Board.Config.Load().Sequence
	changed := c.view.change(func(r *Record) {
		r.Ready = status.Ready()
		r.Leaving = r.Leaving || status.Leaving
		r.Config = seq
	})
	if changed {
		c.markChangedLocked(c.view.self)
	}
}

// markChangedLocked schedules a record for gossip and publishes the view.
func (c *Controller) markChangedLocked(id ports.HostID) {
	c.changed[id] = struct{}{}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	c.publishLocked()
}

// publishLocked writes the view to the blackboard if it has changed.
func (c *Controller) publishLocked() {
	next := c.view.members()
	c.opts.Board.Members.Update(func(old *blackboard.Members) (*blackboard.Members, bool) {
		same := old.Self == next.Self && old.Complete == next.Complete && slices.Equal(old.Members, next.Members)
		return next, !same
	})
	c.setPeersLocked(next)
}

func (c *Controller) setPeersLocked(m *blackboard.Members) {
	if c.opts.Peers == nil {
		return
	}
	hosts := make([]ports.Host, len(m.Members))
	for i := range m.Members {
		hosts[i] = m.Members[i].Host
		hosts[i].State = ports.HostLive
	}
	if slices.Equal(hosts, c.peers) {
		return
	}
	c.peers = hosts
	c.opts.Peers.SetPeers(hosts)
}

// runRounds runs rounds of heartbeats, probes and comparisons of views until ctx ends. The
// first round starts at a random offset, so that hosts are not in step.
func (c *Controller) runRounds(ctx context.Context, g *errgroup.Group) {
	c.mu.Lock()
	offset := time.Duration(c.rng.Int64N(int64(heartbeatInterval)))
	c.lastRun = time.Now()
	c.mu.Unlock()
	if !ctxtime.Sleep(ctx, offset) {
		return
	}
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		if c.opts.beforeRound != nil {
			c.opts.beforeRound()
		}
		c.round(ctx, g, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Controller) round(ctx context.Context, g *errgroup.Group, now time.Time) {
	c.mu.Lock()
	resumed := paused(c.lastRun, now)
	c.lastRun = now
	if resumed {
		c.resumeLocked(now)
	}
	c.refreshOwnLocked()
	if c.view.expire(now) {
		c.publishLocked()
	}
	own := c.view.own().rec
	to := c.view.heartbeatReceivers()
	silent := c.dueForProbeLocked(now)
	partners := c.syncPartnersLocked(now)
	c.mu.Unlock()

	for _, id := range to {
		c.count.heartbeats.Add(1)
		if !peer.Notify(c.opts.Link, id, kindHeartbeat, own) {
			c.count.dropped.Add(1)
		}
	}
	for _, id := range silent {
		g.Go(func() error { c.probe(ctx, g, id); return nil })
	}
	for _, id := range partners {
		g.Go(func() error { c.syncWithFallback(ctx, id); return nil })
	}
	if resumed {
		g.Go(func() error { c.confirmResumed(ctx); return nil })
	}
}

// paused reports whether the time between two rounds shows a pause of this host. It
// compares both clocks, because the monotonic clock stops while a virtual machine is
// suspended.
func paused(last, now time.Time) bool {
	return now.Sub(last) > pauseThreshold || now.Round(0).Sub(last.Round(0)) > pauseThreshold
}

// resumeLocked resumes after a pause. The state of the other hosts is unknown then: the
// pause does not count as their silence, and this host takes no role until one of them
// has answered.
func (c *Controller) resumeLocked(now time.Time) {
	c.count.resumed.Add(1)
	c.opts.Log.Warn("host was paused")
	for _, e := range c.view.entries {
		e.lastSeen = now
	}
	c.view.change(func(r *Record) { r.Resuming = true })
	c.markChangedLocked(c.view.self)
}

// confirmResumed syncs with other hosts until one answers, and then clears Record.Resuming. A
// host without others in its view is confirmed at once.
func (c *Controller) confirmResumed(ctx context.Context) {
	for {
		c.mu.Lock()
		ids := sample(c.rng, c.view.others(nil), indirectPings)
		c.mu.Unlock()
		if len(ids) == 0 || c.anySync(ctx, ids) {
			break
		}
		if !ctxtime.Sleep(ctx, resumeRetryInterval) {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.change(func(r *Record) { r.Resuming = false }) {
		c.markChangedLocked(c.view.self)
	}
}

func (c *Controller) anySync(ctx context.Context, ids []ports.HostID) bool {
	answers := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { answers <- c.syncWith(ctx, id) }()
	}
	ok := false
	for range ids {
		ok = <-answers || ok
	}
	return ok
}

// dueForProbeLocked marks and returns the hosts that are due for a probe: silent hosts that
// this host monitors, and hosts that it still holds for silent from when it monitored
// them. The latter suspicion is local, so no other host would ever refute it.
func (c *Controller) dueForProbeLocked(now time.Time) []ports.HostID {
	var out []ports.HostID
	silent := c.view.others(func(e *entry) bool { return e.silent })
	for _, id := range union(c.view.monitored(), silent) {
		e := c.view.entries[id]
		if e.probing || e.rec.Suspected || now.Sub(e.lastSeen) < heartbeatTimeout {
			continue
		}
		e.probing = true
		out = append(out, id)
	}
	return out
}

// syncPartnersLocked returns the hosts to compare views with in this round, if any.
func (c *Controller) syncPartnersLocked(now time.Time) []ports.HostID {
	if now.Sub(c.synced) < syncInterval {
		return nil
	}
	c.synced = now
	return c.view.syncPartners(c.rng)
}

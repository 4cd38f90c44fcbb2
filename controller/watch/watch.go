// Package watch keeps this host's copy of the platform's state up to date: the routing
// configuration, the zone evacuations, the targets and the list of entry hosts.
//
// A few hosts, the watchers, long-poll the platform's store and forward every change to all
// other hosts; package policy/watchers decides which hosts watch. A watcher's heartbeat carries
// versions and digests of its state, so that a host that missed a change notices and fetches the
// difference. A host that starts fetches the state from a peer and reads the store only if no
// peer can serve it.
//
// State travels as directory.Changes and is merged by directory.State; the result is published
// on the blackboard.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// PeerSetter receives the addresses of the other hosts; peer.Node implements it.
type PeerSetter interface {
	SetPeers(hosts []ports.Host)
}

// Reachability reports for how long messages to a host have failed to reach it; peer.Node
// implements it.
type Reachability interface {
	UnreachableFor(id ports.HostID) time.Duration
}

// Deps are the dependencies and settings of a Controller.
type Deps struct {
	Self   directory.Host
	Region string
	// Seeds are peer addresses of other hosts; some may be stale.
	Seeds []string
	// UnderLoad is set for a start while callers are already waiting: the host reads the store
	// itself if no seed answers at once. Otherwise it gives the seeds time to read the store for
	// all.
	UnderLoad bool
	Source    directory.Source
	Link      peer.Link
	Peers     PeerSetter
	Reach     Reachability
	Board     *blackboard.Board
	Metrics   *metrics.Set
	Log       *zap.Logger
	Seed      uint64
}

// Controller watches the store or follows the hosts that do. Every host runs one.
type Controller struct {
	deps    Deps
	self    ports.HostID
	count   counters
	wake    chan struct{}
	timeout storeTimeout
	// storeClock dates the answers of the store.
	storeClock storeClock
	// confirmGroup limits this host to one Confirm request at a time; concurrent callers share
	// it.
	confirmGroup singleflight.Group

	mu      sync.Mutex
	rng     *rand.Rand
	state   *directory.State
	hosts   map[ports.HostID]directory.Host
	removed map[ports.HostID]removedHost
	// hostsPending is set while changes to the list of hosts are batched before they are
	// published.
	hostsPending bool
	// hostsComplete is set once the list of hosts has matched that of a watcher.
	hostsComplete bool

	heartbeats map[ports.HostID]watchers.Heartbeat
	decider    *watchers.Decider
	// started is the origin of this host's steady clock; senders has the clocks of other hosts.
	started time.Time
	senders map[ports.HostID]*sender
	// gap is set while this host is known to lack something.
	gap *gap
	// replica tells how old this host's copy of the state may be, refreshes brings it up to date for
	// calls.
	replica   replica
	refreshes refreshes
	// refusedAt is when each host last reported that the store did not serve its attempt to
	// watch.
	refusedAt map[ports.HostID]time.Time
	// watch is the current watch of the store; nil while this host is not a watcher.
	watch      *storeWatch
	isWatching atomic.Bool
	// storeFailing is set while the last call of this host to the store failed.
	storeFailing bool
	// targetsServedAt is when the store last answered any host about targets, as far as this
	// host knows. outageEnd is when it last did so after a gap of at least minOutage.
	targetsServedAt, outageEnd time.Time
	// restoredAt is when this host learned that the store was restored from an older copy; zero
	// if it never was.
	restoredAt time.Time
	// cachedSnapshot is the encoded snapshot for hosts that have no state yet; nil until one
	// asks.
	cachedSnapshot *encodedSnapshot
	// differences bounds how many differences to other hosts' states are encoded at a time.
	differences *semaphore.Weighted
	// evacuationsChanged is set until the targets on the board reflect the current evacuations.
	evacuationsChanged bool
	logLimiter         *rate.Limiter
	// expiry is when the set of usable targets next changes by itself, as when the hold on a
	// removed target ends; zero if it does not.
	expiry time.Time
	// serving is closed once the host has enough state to serve.
	serving   chan struct{}
	isServing bool
	// direct is this host's reading of the store while it is not a watcher.
	direct directReads
	// fetching has the hosts to which a request for missing state is pending.
	fetching map[ports.HostID]bool
	// catchingUp is set while this host finds out whether it is behind. nextExchange is the
	// earliest time at which it exchanges lists of hosts again.
	catchingUp   bool
	nextExchange time.Time
	// lostChange is set while a digest shows that this host lost a change of a target.
	lostChange bool
	// watcherSeenAt is when this host last heard a watcher that the store serves, or was one
	// itself. staleLoggedAt is when it last logged that it keeps evacuations in force without
	// one.
	watcherSeenAt, staleLoggedAt time.Time
	// announcedDigest is the digest of the list of hosts last written to the store, nextAnnounce
	// the earliest time of the next write.
	announcedDigest uint64
	nextAnnounce    time.Time
}

// New returns a controller and registers its message handlers with the link.
func New(d Deps) *Controller {
	c := &Controller{
		deps:       d,
		self:       d.Self.ID(),
		count:      newCounters(d.Metrics),
		wake:       make(chan struct{}, 1),
		rng:        rand.New(rand.NewPCG(d.Seed, 4)),
		state:      directory.NewState(),
		hosts:      map[ports.HostID]directory.Host{d.Self.ID(): d.Self},
		removed:    make(map[ports.HostID]removedHost),
		heartbeats: make(map[ports.HostID]watchers.Heartbeat),
		decider:    watchers.NewDecider(d.Self.ID()),
		started:    time.Now(),
		senders:    make(map[ports.HostID]*sender),
		fetching:   make(map[ports.HostID]bool),
		refusedAt:  make(map[ports.HostID]time.Time),
		serving:    make(chan struct{}),

		differences: semaphore.NewWeighted(maxDifferences),

		logLimiter: rate.NewLimiter(linesPerSecond, lineBurst),
		// A host that has just started knows of no earlier outage.
		targetsServedAt: time.Now(),
	}
	for _, addr := range d.Seeds {
		h := directory.Host{Addr: addr}
		c.hosts[h.ID()] = h
	}
	d.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		s.TargetsUnknown = true
		return s, true
	})
	d.Metrics.Func("configuration", c.confirmationMetrics)
	peer.Handle(d.Link, kindHeartbeat, c.onHeartbeat)
	peer.Handle(d.Link, kindChanges, c.onChanges)
	peer.Handle(d.Link, kindSync, c.onSync)
	peer.Handle(d.Link, kindHosts, c.onHosts)
	peer.Handle(d.Link, kindRelay, c.onRelay)
	peer.Handle(d.Link, kindRefused, c.onRefused)
	peer.Handle(d.Link, kindConfirm, c.onConfirm)
	return c
}

// AddSeeds adds peer addresses of other hosts.
func (c *Controller) AddSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range seeds {
		c.noteHost(directory.Host{Addr: addr})
	}
}

// Run keeps the host's state up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.publishHosts()
	c.mu.Unlock()
	c.bootstrap(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.stopWatching("stopped")
	for {
		next := c.step(ctx)
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.wake:
		}
	}
}

// idleStep is the longest time between two calls of step.
const idleStep = 5 * time.Second

// step starts or stops the watch as the decider says, does the periodic work that is due, and
// returns when to run next.
func (c *Controller) step(ctx context.Context) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.expiry.IsZero() && !now.Before(c.expiry) {
		c.publishTargets(now)
	}
	c.logStaleEvacuations(now)
	v := c.view()
	wanted, next := c.decider.Decide(now, v)
	switch {
	case wanted && c.watch == nil:
		c.startWatching(ctx)
		next = now.Add(watchers.HeartbeatInterval)
	case !wanted && c.watch != nil:
		c.endWatching("enough other hosts watch")
	}
	if c.watch != nil {
		if c.watch.serves() && now.Sub(c.watch.started) >= completeAfter {
			c.noteComplete()
		}
		c.heartbeatIfDue(now)
		c.removeUnreachable(now)
		c.announceIfDue(ctx, now)
	}
	for _, at := range []time.Time{c.expiry, c.readIfStale(ctx, now, v)} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() || next.After(now.Add(idleStep)) {
		next = now.Add(idleStep)
	}
	return next
}

// Watches reports whether this host is watching the store.
func (c *Controller) Watches() bool { return c.isWatching.Load() }

// Watched reports whether a host that the store serves is watching it, this one included.
func (c *Controller) Watched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(watchers.FreshWatchers(time.Now(), c.heartbeats)) > 0 || c.watch != nil && c.watch.storeOK()
}

func (c *Controller) view() watchers.View {
	v := watchers.View{Heartbeats: c.heartbeats, Watching: c.watch != nil, FailedTakeovers: c.refusedAt}
	for id := range c.hosts {
		v.Hosts = append(v.Hosts, id)
	}
	if c.watch != nil {
		v.StoreOK = c.watch.storeOK()
	}
	return v
}

// AwaitStart waits until the host has enough state to serve and returns true, or returns false
// once ctx ends.
func (c *Controller) AwaitStart(ctx context.Context) bool {
	select {
	case <-c.serving:
		return true
	case <-ctx.Done():
		return false
	}
}

// wakeUp makes Run call step at once.
func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// merge applies changes, publishes those that were new and returns them. c.mu must be held.
func (c *Controller) merge(now time.Time, ch directory.Changes, from ports.HostID) directory.Changes {
	applied := c.applyChanges(now, ch, from)
	// Calls that wait for the changes go on once the gap is closed, by what is published then.
	c.closeGap(now, from)
	return applied
}

// applyChanges is merge without what depends on the changes being in force. c.mu must be held.
func (c *Controller) applyChanges(now time.Time, ch directory.Changes, from ports.HostID) directory.Changes {
	previous := c.state.Config()
	c.noteRestore(now, ch)
	ch.OutageHold = c.outageHold(now)
	applied := c.state.Apply(now, ch)
	if ch.Delta != nil {
		c.noteVersion(ch.Delta.Version)
	}
	c.noteVersion(c.version())
	c.count.staleEntries.Set(c.state.StaleEntries())
	c.count.refusedConfigs.Set(c.state.RefusedConfigs())
	if applied.Empty() && (c.targetsKnown() || !c.state.HasTargets()) {
		return applied
	}
	// The configuration is published last: a starting host serves from then on, and must already
	// honor the evacuations that were read with it.
	c.publishEvacuations(now, applied.Evacuations, from)
	c.logTargets(ch, applied, from)
	c.publishTargets(now)
	if ch.Hold > 0 || ch.OutageHold > 0 {
		c.wakeUp()
	}
	if next := c.state.Config(); next != previous {
		c.publishConfig(previous, next, from)
	}
	if c.deps.Board.Status.Load().Serving() && !c.isServing {
		c.isServing = true
		close(c.serving)
	}
	return applied
}

// targetsKnown reports whether the published status says that the targets are known.
func (c *Controller) targetsKnown() bool { return !c.deps.Board.Status.Load().TargetsUnknown }

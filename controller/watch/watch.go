// Package watch keeps what this host knows of the platform's record up to date.
// A few hosts watch the platform's store and pass every change on to all others;
// policy/watchers decides which. A host that starts asks another host for all it
// knows, and reads the store itself only if no other can tell.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// PeerSetter learns the addresses of the other hosts; peer.Node is one.
type PeerSetter interface {
	SetPeers(hosts []ports.Host)
}

// Reach tells how long a host could not be reached though messages were sent to it;
// peer.Node is one.
type Reach interface {
	UnreachableFor(id ports.HostID) time.Duration
}

// Deps is what a Controller works with.
type Deps struct {
	Self   directory.Host
	Region string
	// Seeds are peer addresses of other hosts; some may be stale.
	Seeds []string
	// UnderLoad has a start read the store if no seed knows at once, since callers
	// wait already. Otherwise the seeds have time to read it for all.
	UnderLoad bool
	Source    directory.Source
	Link      peer.Link
	Peers     PeerSetter
	Reach     Reach
	Board     *blackboard.Board
	Metrics   *metrics.Set
	Log       *zap.Logger
	Seed      uint64
}

// Controller runs on every host.
type Controller struct {
	deps     Deps
	self     ports.HostID
	count    counters
	wake     chan struct{}
	patience storePatience
	// asking has one question at a time under way about how new the configuration is.
	asking singleflight.Group

	mu    sync.Mutex
	rng   *rand.Rand
	state *directory.State
	hosts map[ports.HostID]directory.Host
	gone  map[ports.HostID]departed
	// hostsGathered is set while changes of the list of hosts wait to be published.
	hostsGathered bool
	// hostsComplete is set once the list of hosts was that of a watcher.
	hostsComplete bool

	beats   map[ports.HostID]watchers.Heartbeat
	decider *watchers.Decider
	// refused is when others last told that the store did not serve their try to watch.
	refused map[ports.HostID]time.Time
	// watch is set while this host watches.
	watch   *watching
	watches atomic.Bool
	// storeLost is set while the store failed this host last.
	storeLost bool
	// servedAt is when the store last told any host of targets, as far as this one knows,
	// outageEnd when it last did so after it had told none for lapseAfter.
	servedAt, outageEnd time.Time
	// copyAt is when this host heard that the record came back from an older copy; the zero
	// time if it never did.
	copyAt time.Time
	// wholeStep is what hosts that know nothing are told; nil if none has asked.
	wholeStep *wholeStep
	// evacuationsChanged is set until the board's targets heed the orders at hand.
	evacuationsChanged bool
	lines              *rate.Limiter
	// expiry is when a target that is held stops being usable.
	expiry time.Time
	// serving is closed once the host knows enough to serve.
	serving   chan struct{}
	isServing bool
	// checking is set while this host finds out whether it is behind, exchangeAt is
	// the earliest time to tell again whom it knows.
	checking   bool
	exchangeAt time.Time
	// wordAt is when a watcher of the store was last heard, or this host was one, keptAt when
	// it last told that it keeps to orders without that.
	wordAt, keptAt time.Time
	// announced is the digest of the hosts last written down, announceAt the
	// earliest time of the next writing.
	announced  uint64
	announceAt time.Time
}

// New returns a controller and registers its messages with the link.
func New(d Deps) *Controller {
	c := &Controller{
		deps:    d,
		self:    d.Self.ID(),
		count:   newCounters(d.Metrics),
		wake:    make(chan struct{}, 1),
		rng:     rand.New(rand.NewPCG(d.Seed, 4)),
		state:   directory.NewState(),
		hosts:   map[ports.HostID]directory.Host{d.Self.ID(): d.Self},
		gone:    make(map[ports.HostID]departed),
		beats:   make(map[ports.HostID]watchers.Heartbeat),
		decider: watchers.NewDecider(d.Self.ID()),
		refused: make(map[ports.HostID]time.Time),
		serving: make(chan struct{}),
		lines:   rate.NewLimiter(linesPerSecond, lineBurst),
		// A host that has just started knows nothing of an outage before.
		servedAt: time.Now(),
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
	peer.Handle(d.Link, kindBeat, c.onBeat)
	peer.Handle(d.Link, kindChanges, c.onChanges)
	peer.Handle(d.Link, kindSync, c.onSync)
	peer.Handle(d.Link, kindHosts, c.onHosts)
	peer.Handle(d.Link, kindRelay, c.onRelay)
	peer.Handle(d.Link, kindRefused, c.onRefused)
	peer.Handle(d.Link, kindConfirm, c.onConfirm)
	return c
}

// AddSeeds takes in further addresses of other hosts.
func (c *Controller) AddSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range seeds {
		c.heard(directory.Host{Addr: addr})
	}
}

// Run keeps the host up to date until ctx ends.
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

// idleStep is the longest time between two looks at who watches.
const idleStep = 5 * time.Second

// step takes over or hands over the watch as decided, and returns when to look
// again.
func (c *Controller) step(ctx context.Context) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.expiry.IsZero() && !now.Before(c.expiry) {
		c.publishTargets(now)
	}
	c.keepEvacuations(now)
	wanted, next := c.decider.Decide(now, c.view())
	switch {
	case wanted && c.watch == nil:
		c.startWatching(ctx)
		next = now.Add(watchers.HeartbeatInterval)
	case !wanted && c.watch != nil:
		c.endWatching("others watch")
	}
	if c.watch != nil {
		if c.watch.serves() && now.Sub(c.watch.started) >= completeAfter {
			c.noteComplete()
		}
		c.beatIfDue(now)
		c.leaveOutIfDue(now)
		c.announceIfDue(ctx, now)
	}
	if !c.expiry.IsZero() && (next.IsZero() || c.expiry.Before(next)) {
		next = c.expiry
	}
	if next.IsZero() || next.After(now.Add(idleStep)) {
		next = now.Add(idleStep)
	}
	return next
}

// Watches reports whether this host watches the store.
func (c *Controller) Watches() bool { return c.watches.Load() }

// Watched reports whether a host that watches the store, or this one, had word of it of late.
func (c *Controller) Watched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(watchers.FreshWatchers(time.Now(), c.beats)) > 0 || c.watch != nil && c.watch.storeOK()
}

func (c *Controller) view() watchers.View {
	v := watchers.View{Heartbeats: c.beats, Watching: c.watch != nil, FailedTakeovers: c.refused}
	for id := range c.hosts {
		v.Hosts = append(v.Hosts, id)
	}
	if c.watch != nil {
		v.StoreOK = c.watch.storeOK()
	}
	return v
}

// AwaitStart waits until the host knows enough to serve, or ctx ends, and reports
// which.
func (c *Controller) AwaitStart(ctx context.Context) bool {
	select {
	case <-c.serving:
		return true
	case <-ctx.Done():
		return false
	}
}

// wakeUp has Run look at once.
func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// merge takes in a step, puts what is new in force and returns that. The lock is held.
func (c *Controller) merge(now time.Time, ch directory.Changes, from ports.HostID) directory.Changes {
	had := c.state.Config()
	c.noteCopy(now, ch)
	passed := ch.Hold
	ch.Hold = max(ch.Hold, c.outageHold(now))
	news := c.state.Take(now, ch)
	news.Hold = passed // what this host believes of an outage may come from a cut of its own
	if ch.Delta != nil {
		c.hear(ch.Delta.Version)
	}
	c.hear(c.version())
	c.count.lateWords.Set(c.state.LateWords())
	c.count.refusedConfigs.Set(c.state.RefusedConfigs())
	if news.Empty() && (c.known() || !c.state.HasTargets()) {
		return news
	}
	// The configuration comes last: with it a host that starts begins to serve, and by then it
	// must heed the orders that it read beside it.
	c.publishEvacuations(now, news.Evacuations, from)
	c.logTargets(ch, news, from)
	c.publishTargets(now)
	if ch.Hold > 0 {
		c.wakeUp()
	}
	if next := c.state.Config(); next != had {
		c.publishConfig(had, next, from)
	}
	if c.deps.Board.Status.Load().Serving() && !c.isServing {
		c.isServing = true
		close(c.serving)
	}
	return news
}

// known reports whether the status already says that the targets are known.
func (c *Controller) known() bool { return !c.deps.Board.Status.Load().TargetsUnknown }

// Package quota keeps requests within quotas over all hosts: those of tenants, or those that
// targets take. One host of each availability zone owns the zone's part of a quota and is asked
// about each request that counts in it; policy/quota has the parts, policy/rendezvous says who
// owns them. An owner that can not be reached is followed by the next host, which begins with
// nothing. A request of which no host can tell is refused, or left to who asked.
package quota

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
)

// What has quotas.
const (
	SubjectTenant = "tenant"
	SubjectTarget = "target"
)

// Deps is what a Controller works with.
type Deps struct {
	Board *blackboard.Board
	Link  peer.Link
	// Kind is the first of the kinds of its messages.
	Kind peer.Kind
	// Limits are the quotas; Subject is what has them, as lines name it.
	Limits  Limits
	Subject string
	// Zone is this host's availability zone, Others are all others.
	Zone       string
	OtherZones []string
	// Tolerance is by how much quotas may be exceeded.
	Tolerance quota.Tolerance
	// StoreWatched reports whether this host has word of the platform's store, by a host that
	// watches it.
	StoreWatched func() bool
	Metrics      *metrics.Set
	Log          *zap.Logger
}

// Limits are quotas by name. Implementations are safe for concurrent use.
type Limits interface {
	// Limit returns a quota; a rate of 0 means that there is none, false that the name is not
	// known here.
	Limit(name string) (quota.Limit, bool)
	// Observed returns what this host knows of a limit where the configuration doesn't say, Hear
	// takes in what another one knows.
	Observed(name string) quota.Word
	Observe(name string, w quota.Word)
}

// Controller runs on every host. It is safe for concurrent use.
type Controller struct {
	deps    Deps
	self    ports.HostID
	count   counters
	started time.Time
	// handOver is usualHandOver, but in tests of what it guards against.
	handOver time.Duration
	// borrowing has one exchange at a time under way for each quota.
	borrowing singleflight.Group
	// checks has one question at a time under way to each host.
	checks singleflight.Group

	mu sync.Mutex
	// callers is what this host knows as one that asks, parts what it owns, by name.
	callers map[string]*caller
	parts   map[string]*part
	// heard is what other hosts last answered.
	heard map[ports.HostID]answer
	// mostAnswer is whether most other hosts answered when last asked, at askedMostAt.
	mostAnswer  bool
	askedMostAt time.Time
	ranks       ranks
}

// New returns a controller and registers its messages with the link.
func New(d Deps) *Controller {
	c := &Controller{
		deps:     d,
		self:     d.Link.Self(),
		count:    newCounters(d.Metrics, d.Subject),
		started:  time.Now(),
		handOver: usualHandOver,
		callers:  make(map[string]*caller),
		parts:    make(map[string]*part),
		heard:    make(map[ports.HostID]answer),
	}
	peer.Handle(d.Link, d.Kind+kindTake, c.onTake)
	peer.Handle(d.Link, d.Kind+kindBorrow, c.onBorrow)
	peer.Handle(d.Link, d.Kind+kindAlive, c.onAlive)
	peer.Handle(d.Link, d.Kind+kindTell, c.onTell)
	return c
}

const (
	// sweepEvery is how often what is kept of names that are gone, or were not asked for,
	// is dropped.
	sweepEvery = 10 * time.Second
	// reportEvery is how often an owner tells of quotas beyond which it denied requests.
	reportEvery = 5 * time.Second
	// lookEvery is how often a host looks whether it was held up; frozenAfter is the time
	// between two looks from which on others may have taken over its parts.
	lookEvery   = 250 * time.Millisecond
	frozenAfter = time.Second
)

// Run follows the list of hosts, and drops what is no longer needed, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.refreshRanks(time.Now())
	c.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error {
		return c.deps.Board.Members.Watch(ctx, func(*blackboard.Members) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.refreshRanks(time.Now())
		})
	})
	g.Go(func() error { return c.look(ctx) })
	return g.Wait()
}

// look has parts begin anew after this host was held up, and sweeps now and then.
func (c *Controller) look(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last, swept, reported := time.Now(), time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > frozenAfter {
			c.emptyAll(now, "held up")
		}
		if now.Sub(reported) >= reportEvery {
			c.reportAll()
			reported = now
		}
		if now.Sub(swept) > sweepEvery {
			c.sweep(now)
			swept = now
		}
		last = now
	}
}

// reportAll has owners' decisions of late logged.
func (c *Controller) reportAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.parts {
		c.report(name, p)
	}
}

// sweep drops what is kept of names that are gone, or were not asked for.
func (c *Controller) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.callers {
		if now.Sub(a.usedAt) > sweepEvery {
			delete(c.callers, name)
		}
	}
	for name := range c.parts {
		if l, known := c.deps.Limits.Limit(name); !known || l.Rate == 0 {
			delete(c.parts, name)
		}
	}
	for id, a := range c.heard {
		if now.Sub(a.at) > sweepEvery {
			delete(c.heard, id)
		}
	}
}

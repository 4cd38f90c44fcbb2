// Package quota enforces request quotas across all hosts: those of tenants, and those
// that targets announce for themselves.
//
// A quota is divided into equal parts, one for each availability zone. Each part is a
// token bucket (policy/quota) owned by one host of the zone, which is chosen by
// rendezvous hashing (policy/rendezvous). The other hosts ask the owner about each
// request that counts against the part. An owner that runs out of tokens borrows from the
// owners in other zones. If an owner can't be reached, the next host in rank takes over
// and starts without tokens, so that two owners in succession don't exceed the quota. If
// no host can decide on a request, Take refuses it and Acquire leaves the decision to its
// caller.
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

// Subjects of quotas.
const (
	SubjectTenant = "tenant"
	SubjectTarget = "target"
)

// Deps are the dependencies of a Controller.
type Deps struct {
	Board *blackboard.Board
	Link  peer.Link
	// Kind is the first message kind of this controller; see kindTake and following.
	Kind peer.Kind
	// Limits are the quotas. Subject is the kind of thing that they apply to, for metrics
	// and log entries.
	Limits  Limits
	Subject string
	// Zone is this host's availability zone, OtherZones are all others.
	Zone       string
	OtherZones []string
	// Tolerance is how far quotas may be exceeded.
	Tolerance quota.Tolerance
	// StoreWatched reports whether this host watches the platform's store or hears from a
	// host that does.
	StoreWatched func() bool
	Metrics      *metrics.Set
	Log          *zap.Logger
}

// Limits provides quotas by name. Implementations are safe for concurrent use.
type Limits interface {
	// Limit returns a quota. A rate of 0 means that there is none; false means that this
	// host doesn't know the name.
	Limit(name string) (quota.Limit, bool)
	// Observed returns what this host knows about a limit that isn't configured, Observe
	// records what another host knows.
	Observed(name string) quota.ObservedLimit
	Observe(name string, w quota.ObservedLimit)
}

// Controller runs on every host. It is safe for concurrent use.
type Controller struct {
	deps    Deps
	self    ports.HostID
	count   counters
	started time.Time
	// handoverDelay is defaultHandoverDelay, except in tests that show what it prevents.
	handoverDelay time.Duration
	// borrowing deduplicates concurrent borrowing for a quota.
	borrowing singleflight.Group
	// inheriting deduplicates the questions for a part, by the name of the quota.
	inheriting singleflight.Group
	// probes deduplicates concurrent requests for a host's status. The empty key stands
	// for the check for a majority.
	probes singleflight.Group

	mu sync.Mutex
	// requesters holds what this host knows about quotas as a requester, parts what it
	// owns, both by the name of the quota.
	requesters map[string]*requester
	parts      map[string]*part
	// claims holds the parts that this host is about to create, see inherit.
	claims map[string]*claim
	// contacted holds the last known status of other hosts.
	contacted map[ports.HostID]hostStatus
	// majorityReachable is whether most other hosts replied when last probed, at
	// majorityCheckedAt.
	majorityReachable bool
	majorityCheckedAt time.Time
	ownerCache        ownerCache
}

// New returns a controller and registers its message handlers with the link.
func New(d Deps) *Controller {
	c := &Controller{
		deps:          d,
		self:          d.Link.Self(),
		count:         newCounters(d.Metrics, d.Subject),
		started:       time.Now(),
		handoverDelay: defaultHandoverDelay,
		requesters:    make(map[string]*requester),
		parts:         make(map[string]*part),
		claims:        make(map[string]*claim),
		contacted:     make(map[ports.HostID]hostStatus),
	}
	peer.Handle(d.Link, d.Kind+kindTake, c.onTake)
	peer.Handle(d.Link, d.Kind+kindBorrow, c.onBorrow)
	peer.Handle(d.Link, d.Kind+kindAlive, c.onAlive)
	peer.Handle(d.Link, d.Kind+kindNotify, c.onNotify)
	peer.Handle(d.Link, d.Kind+kindHandOver, c.onHandOver)
	return c
}

const (
	// sweepInterval is how often state is dropped of quotas that no longer exist or
	// weren't used, and of hosts not heard from.
	sweepInterval = 10 * time.Second
	// reportInterval is how often an owner logs the quotas that it denied requests for.
	reportInterval = 5 * time.Second
	// tickInterval is how often a host checks whether it was stalled. If two checks are
	// more than stallThreshold apart, other hosts may have taken over its parts.
	tickInterval   = 250 * time.Millisecond
	stallThreshold = time.Second
)

// Run follows the list of hosts and does the periodic work until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.refreshOwners(time.Now())
	c.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error {
		return c.deps.Board.Members.Watch(ctx, func(*blackboard.Members) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.refreshOwners(time.Now())
		})
	})
	g.Go(func() error { return c.runPeriodic(ctx) })
	return g.Wait()
}

// runPeriodic resets the parts after a stall of this host, verifies the takeovers, and regularly
// logs denials and drops unused state.
func (c *Controller) runPeriodic(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last, swept, reported := time.Now(), time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			c.resetAll(now, "held up")
		}
		c.resetIfCutOff()
		c.verifyTakeovers(now)
		if now.Sub(reported) >= reportInterval {
			c.logAllDenials()
			reported = now
		}
		if now.Sub(swept) > sweepInterval {
			c.sweep(now)
			swept = now
		}
		last = now
	}
}

// logAllDenials logs the denials of all parts since the last report.
func (c *Controller) logAllDenials() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.parts {
		c.logDenials(name, p)
	}
}

// sweep drops the state of quotas that no longer exist or weren't used for sweepInterval,
// and of hosts not heard from in that time.
func (c *Controller) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.requesters {
		if now.Sub(a.usedAt) > sweepInterval {
			delete(c.requesters, name)
		}
	}
	for name := range c.parts {
		if l, known := c.deps.Limits.Limit(name); !known || l.Rate == 0 {
			delete(c.parts, name)
		}
	}
	for id, a := range c.contacted {
		if now.Sub(a.at) > sweepInterval {
			delete(c.contacted, id)
		}
	}
}

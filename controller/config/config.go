// Package config keeps the configuration of a host up to date. It commits operators'
// changes to the platform's table in one transaction each, pushes them to the other hosts
// along a tree, and applies changes that other hosts committed.
//
// Every change has a sequence number. A host learns of new ones by pushes, by polling the
// head row of the table, from heartbeats, and by querying its peers, and fetches what it
// lacks from the table or from a peer. Only higher sequence numbers are ever applied, so
// a configuration never goes back. A host whose configuration was not confirmed as the
// newest within Timings.ConfirmationTTL, by the store or by peers, is not ready.
package config

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Deps are the dependencies of a Controller. All fields but Timings, Now and Rand are
// required.
type Deps struct {
	Board   *blackboard.Board
	Table   ports.Table
	Objects ports.ObjectStore
	Link    peer.Link
	Metrics *metrics.Set
	Log     *zap.Logger
	// Timings defaults to DefaultTimings if it is the zero value.
	Timings Timings
	// Now is the host's clock, time.Now by default. Tests replace it to shift the clock
	// of one host.
	Now func() time.Time
	// Rand adds jitter to polls and picks peers. If nil, it is randomly seeded.
	Rand *rand.Rand
}

// Timings are the intervals, timeouts and limits of the controller.
type Timings struct {
	// PollInterval is the time between two reads of the head row, with 10% jitter.
	PollInterval time.Duration
	// ReadTimeout bounds one operation on the platform; a slower store counts as
	// unavailable. It must be below ConfirmationTTL.
	ReadTimeout time.Duration
	// PeerTimeout bounds one call to another host.
	PeerTimeout time.Duration
	// PeerFallbackDelay is how long the store may be silent before the host queries its
	// peers instead.
	PeerFallbackDelay time.Duration
	// ConfirmationTTL is how long a confirmation is valid. A host that serves has
	// confirmed its configuration within this time.
	ConfirmationTTL time.Duration
	// PeerRefreshAge is the age above which a confirmation by a few peers makes the host
	// query all others. Rounds of queries follow each other after PollInterval plus 10%,
	// start up to a ClockInterval late and take up to two PeerTimeouts, so the age has to
	// be a little below a quarter of ConfirmationTTL for the next confirmation to arrive
	// before the present one expires.
	PeerRefreshAge time.Duration
	// ClockInterval is the time between two checks of the host's own clock.
	ClockInterval time.Duration
	// PauseThreshold is the gap between two clock checks from which on the host counts as
	// having been paused.
	PauseThreshold time.Duration
	// CommitTimeout bounds a commit with its retries, including the search for its
	// outcome.
	CommitTimeout time.Duration
	// Fanout bounds the number of hosts to which one host sends a change.
	Fanout int
	// MaxPollers bounds the number of hosts that poll the store; the others query their peers.
	MaxPollers int
}

// DefaultTimings returns the timings for production. The propagation times in
// docs/design/configuration.md were measured with them.
func DefaultTimings() Timings {
	return Timings{
		PollInterval:      time.Second,
		ReadTimeout:       2500 * time.Millisecond,
		PeerTimeout:       400 * time.Millisecond,
		PeerFallbackDelay: 1500 * time.Millisecond,
		ConfirmationTTL:   3 * time.Second,
		PeerRefreshAge:    700 * time.Millisecond,
		ClockInterval:     250 * time.Millisecond,
		PauseThreshold:    2 * time.Second,
		CommitTimeout:     10 * time.Second,
		Fanout:            8,
		MaxPollers:        32,
	}
}

// Controller keeps one host's configuration up to date. Its methods are safe for
// concurrent use.
type Controller struct {
	Deps
	events  *expvar.Map
	refused *expvar.Map
	retried *expvar.Map

	// randMu guards Deps.Rand.
	randMu sync.Mutex

	// mu serialises changes to the configuration.
	mu            sync.Mutex
	recentChanges []Change
	// accepts reports whether a sequence number may replace the current one. Tests
	// replace it.
	accepts func(present, next uint64) bool

	// confirmation is the time as of which the configuration is known to be the newest:
	// the start of the request that confirmed it, less the age of the reply. Nil if it
	// isn't confirmed.
	confirmation atomic.Pointer[time.Time]
	// storeReadAt is the start of the last read of the head row that succeeded.
	storeReadAt atomic.Pointer[time.Time]
	// storeFailed is set while the last read from the store failed.
	storeFailed atomic.Bool
	// resumedAt is the end of the last pause. Replies to requests sent before don't
	// confirm.
	resumedAt atomic.Pointer[time.Time]

	pollNow  chan struct{}
	hints    chan hint
	snapshot chan struct{}
}

const (
	// hintQueueSize bounds the queue of peers known to have a newer configuration.
	hintQueueSize = 16
	// maxConcurrentPolls bounds the reads of the head row in flight. A read that hangs
	// must not delay the next, or the end of an outage would go unnoticed for up to
	// ReadTimeout.
	maxConcurrentPolls = 3
)

// New returns a controller and registers its handlers with the link. The link must not be
// serving yet.
func New(deps Deps) *Controller {
	if deps.Timings == (Timings{}) {
		deps.Timings = DefaultTimings()
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Rand == nil {
		deps.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c := &Controller{
		Deps:     deps,
		events:   deps.Metrics.Map("config_events"),
		refused:  deps.Metrics.Map("config_refused"),
		retried:  deps.Metrics.Map("config_retries"),
		accepts:  isNewer,
		pollNow:  make(chan struct{}, 1),
		hints:    make(chan hint, hintQueueSize),
		snapshot: make(chan struct{}, 1),
	}
	deps.Metrics.Func("config_sequence", func() any { return c.Sequence() })
	c.registerHandlers()
	return c
}

// Run keeps the configuration up to date until ctx ends. It returns an error only if the
// blackboard can't be watched.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.pollStore(ctx) })
	g.Go(func() error { return c.watchClock(ctx) })
	g.Go(func() error { return c.processHints(ctx) })
	g.Go(func() error { return c.writeSnapshots(ctx) })
	g.Go(func() error { return c.Board.Members.Watch(ctx, c.onMembers) })
	return g.Wait()
}

// pollStore reads the head row about once in every PollInterval, and immediately after
// triggerPoll.
func (c *Controller) pollStore(ctx context.Context) error {
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	defer func() { _ = polls.Wait() }()
	for {
		if c.isPoller() || !c.Fresh() {
			polls.TryGo(func() error {
				c.refreshFromStore(ctx)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.pollNow:
		case <-time.After(c.jitter(c.Timings.PollInterval)):
		}
	}
}

// jitter varies an interval by up to 10% either way, so that the hosts don't act in step.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return time.Duration(float64(d) * (0.9 + 0.2*c.Rand.Float64()))
}

// pickHosts returns up to n of the hosts at random. It reorders the slice.
func (c *Controller) pickHosts(hosts []peer.HostID, n int) []peer.HostID {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	c.Rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

// triggerPoll starts the next poll immediately.
func (c *Controller) triggerPoll() {
	select {
	case c.pollNow <- struct{}{}:
	default:
	}
}

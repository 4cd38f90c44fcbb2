// Package config is the controller that keeps the configuration in force on a
// host: it commits operators' changes to the platform's table, pushes them to
// the other hosts, and applies what others committed. Only higher sequence
// numbers are ever applied, so that nothing reverts, and the host says that it
// is not ready while it can not tell whether it holds the newest configuration.
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

// Deps is what a controller works with. All fields but Timings, Now and
// Rand are required.
type Deps struct {
	Board   *blackboard.Board
	Table   ports.Table
	Objects ports.ObjectStore
	Link    peer.Link
	Metrics *metrics.Set
	Log     *zap.Logger
	// Timings is replaced by DefaultTimings if it is the zero value.
	Timings Timings
	// Now is time.Now unless a test moves the clock of one host.
	Now func() time.Time
	// Rand spreads polls and picks peers; nil takes a random seed.
	Rand *rand.Rand
}

// Timings are the periods and sizes of the controller.
type Timings struct {
	// Poll is the time between two reads of the head row, give or take a tenth.
	Poll time.Duration
	// ReadTimeout bounds one operation on the platform. A store that is slower
	// counts as out. It must be below Lapse.
	ReadTimeout time.Duration
	// PeerTimeout bounds one call to another host.
	PeerTimeout time.Duration
	// StoreQuiet is the time without an answer from the store after which the
	// host asks its peers instead.
	StoreQuiet time.Duration
	// Lapse is how long a confirmation holds: a host that serves has confirmed
	// its configuration within Lapse.
	Lapse time.Duration
	// PeerAge is the age of evidence above which a host that has it from a few peers
	// asks all others. With a round of questions every Poll and a tenth, begun up to a
	// Tick late, and two PeerTimeouts in a round, it has to be a little below a quarter
	// of Lapse, so that the new evidence is there before the old lapses.
	PeerAge time.Duration
	// Tick is the time between two looks at the host's own clock.
	Tick time.Duration
	// Pause is the gap between two ticks that counts as a pause of the host.
	Pause time.Duration
	// Resolve bounds the search for the outcome of a commit.
	Resolve time.Duration
	// Fanout bounds the copies of a change that one host sends.
	Fanout int
	// Pollers bounds the hosts that poll the store; the others ask them.
	Pollers int
}

// DefaultTimings returns the timings that the figures in
// docs/design/configuration.md were measured with.
func DefaultTimings() Timings {
	return Timings{
		Poll:        time.Second,
		ReadTimeout: 2500 * time.Millisecond,
		PeerTimeout: 400 * time.Millisecond,
		StoreQuiet:  1500 * time.Millisecond,
		Lapse:       3 * time.Second,
		PeerAge:     700 * time.Millisecond,
		Tick:        250 * time.Millisecond,
		Pause:       2 * time.Second,
		Resolve:     10 * time.Second,
		Fanout:      8,
		Pollers:     32,
	}
}

// Controller keeps one host's configuration. Its methods are safe for
// concurrent use.
type Controller struct {
	Deps
	events  *expvar.Map
	refused *expvar.Map
	retried *expvar.Map

	// randMu guards Deps.Rand.
	randMu sync.Mutex

	// mu serialises changes of the configuration.
	mu     sync.Mutex
	recent []Change
	// admit decides whether a sequence number may replace the present one.
	admit func(present, next uint64) bool

	// evidence is when the newest confirmation was asked for; nil is none.
	evidence atomic.Pointer[time.Time]
	// storeSeen is when the store was last asked and did answer.
	storeSeen atomic.Pointer[time.Time]
	// storeFailed is set while the last answer from the store was an error.
	storeFailed atomic.Bool
	// wokeAt is the end of the last pause; older evidence does not count.
	wokeAt atomic.Pointer[time.Time]

	kick     chan struct{}
	hints    chan hint
	snapshot chan struct{}
}

const (
	// hintQueue is the number of hosts known to be ahead that may wait.
	hintQueue = 16
	// maxPolls bounds the reads of the head row under way at once. A read that
	// hangs must not keep the next from being sent, or the end of an outage
	// would be seen a whole ReadTimeout late.
	maxPolls = 3
)

// New returns a controller and registers its handlers with the link, which must
// not serve yet.
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
		admit:    isNewer,
		kick:     make(chan struct{}, 1),
		hints:    make(chan hint, hintQueue),
		snapshot: make(chan struct{}, 1),
	}
	deps.Metrics.Func("config_sequence", func() any { return c.Sequence() })
	c.registerHandlers()
	return c
}

// Run keeps the configuration until ctx ends. It returns an error only if the
// blackboard can not be watched.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.pollStore(ctx) })
	g.Go(func() error { return c.watchClock(ctx) })
	g.Go(func() error { return c.followHints(ctx) })
	g.Go(func() error { return c.writeSnapshots(ctx) })
	g.Go(func() error { return c.Board.Members.Watch(ctx, c.noticeMembers) })
	return g.Wait()
}

// pollStore reads the head row about once in Timings.Poll, and at once when it
// is kicked.
func (c *Controller) pollStore(ctx context.Context) error {
	var polls errgroup.Group
	polls.SetLimit(maxPolls)
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
		case <-c.kick:
		case <-time.After(c.jitter(c.Timings.Poll)):
		}
	}
}

// jitter spreads what the hosts do periodically, a tenth either way.
func (c *Controller) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return time.Duration(float64(d) * (0.9 + 0.2*c.Rand.Float64()))
}

// pickHosts returns up to n of the hosts, at random; it reorders the slice.
func (c *Controller) pickHosts(hosts []peer.HostID, n int) []peer.HostID {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	c.Rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

// wake makes the next poll come at once.
func (c *Controller) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

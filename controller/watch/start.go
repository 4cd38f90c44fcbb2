package watch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// seedTimeout bounds what a start waits for other hosts before it reads the
	// store itself: a few round trips and the start of a process beside it.
	seedTimeout = 400 * time.Millisecond
	// hurriedSeedTimeout is that of a start while callers wait: a seed that is up
	// answers in a few ms.
	hurriedSeedTimeout = 15 * time.Millisecond
	// busySeedTimeout is how long such a start goes on asking a seed that is up but
	// has yet to read the store, which takes it 30 to 80 ms.
	busySeedTimeout = 200 * time.Millisecond
	// greeted is how many hosts of the list a start tells of itself.
	greeted = 3
	// seedPause is the time between two questions to a seed.
	seedPause = 20 * time.Millisecond
	// seedsFirst is how long a start lets the seeds go first: they start within
	// 0.3 s of any other host, and then read the store in some 10 ms.
	seedsFirst = 500 * time.Millisecond
)

// begin tells the seeds of this host and takes in what they know. If a seed is up
// but knows nothing yet, as when all hosts start together, the seeds are the first
// to watch: were every host to do so, the calls to the store would grow with the
// number of hosts.
func (c *Controller) begin(ctx context.Context) {
	seed := slices.Contains(c.deps.Seeds, c.deps.Self.Addr)
	timeout := seedTimeout
	if c.deps.Hurry {
		timeout = hurriedSeedTimeout
	}
	reached, fresh := c.askSeeds(ctx, timeout)
	if !fresh && reached && c.deps.Hurry && !seed {
		_, fresh = c.askSeeds(ctx, busySeedTimeout)
	}
	if fresh {
		return
	}
	var g errgroup.Group
	if c.deps.Hurry {
		g.Go(func() error {
			c.readOnce(ctx)
			return nil
		})
	}
	if c.deps.Hurry || !reached {
		g.Go(func() error {
			c.readHosts(ctx)
			return nil
		})
	}
	_ = g.Wait() // neither returns an error; failures are logged there
	if !seed {
		c.mu.Lock()
		c.decider.Defer(time.Now().Add(seedsFirst))
		c.mu.Unlock()
	}
}

// readOnce reads all topics from the store, without watching it.
//
// Failure: all hosts lose power at once, and callers wait. Symptom: with the seeds
// asked for everything, no host served before the first seed was up and had read
// the store, 0.3 to 0.45 s after most hosts were up. Two calls a host are the
// price of being ready at once. When a seed is up it is asked for longer instead:
// the store answers one reading after the other, some 9 ms each, and 15 hosts that
// read at the same moment waited 0.3 s for it.
func (c *Controller) readOnce(ctx context.Context) {
	var g errgroup.Group
	for t := range directory.Topics {
		g.Go(func() error {
			ch, err := c.ask(ctx, nil, t, 0, c.patience.allowance(time.Now()))
			if err != nil {
				c.count.failed.Add(1)
				c.deps.Log.Warn("store not read at the start", zap.Stringer("topic", t), zap.Error(err))
				return nil
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.merge(time.Now(), ch, c.self)
			return nil
		})
	}
	_ = g.Wait() // failures are logged above; the watch tries again
}

// askSeeds asks the seeds for all they know. It reports whether any was reached,
// and whether one of them is up to date, which ends the wait.
func (c *Controller) askSeeds(ctx context.Context, timeout time.Duration) (reached, fresh bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan syncResult, len(c.deps.Seeds))
	asked := 0
	for _, addr := range c.deps.Seeds {
		id := directory.Host{Addr: addr}.ID()
		if id == c.self {
			continue
		}
		asked++
		go func() { answers <- c.askSeed(ctx, id) }()
	}
	for range asked {
		r := <-answers
		reached = reached || r.reached
		if r.fresh && (len(r.ask) == 0 || c.askReferred(r.ask)) {
			return true, true
		}
	}
	return reached, false
}

// askSeed asks one seed until it is up to date. At a start of all hosts together
// it may not listen yet, or know nothing.
func (c *Controller) askSeed(ctx context.Context, id ports.HostID) syncResult {
	var last syncResult
	for {
		r := c.sync(ctx, id, true)
		last.reached = last.reached || r.reached
		if r.fresh {
			return r
		}
		if slices.Contains(c.deps.Seeds, c.deps.Self.Addr) || !ctxtime.Sleep(ctx, seedPause) {
			return last
		}
	}
}

// referStagger is how long a start waits for one host that a seed named before it asks the
// next, too: all that 100 hosts know takes 0.06 s of a link of 10 Mbit/s.
const referStagger = 100 * time.Millisecond

// askReferred asks hosts that a seed named until one tells all it knows, and reports whether
// one did. Some may be down, and are silent: the next is asked meanwhile.
func (c *Controller) askReferred(ids []ports.HostID) bool {
	c.mu.Lock()
	for _, id := range ids {
		c.addHosts(directory.Host{Addr: string(id)})
	}
	c.mu.Unlock()
	answers := make(chan bool, len(ids))
	for asked, open := 0, 0; asked < len(ids) || open > 0; {
		var stagger <-chan time.Time
		if asked < len(ids) {
			id := ids[asked]
			asked, open = asked+1, open+1
			go func() { answers <- c.syncWithin(id, checkTimeout).fresh }()
			stagger = time.After(referStagger)
		}
		select {
		case fresh := <-answers:
			open--
			if fresh {
				return true
			}
		case <-stagger:
		}
	}
	return false
}

// readHosts learns the other hosts from the store, for a start whose seeds are all
// stale.
func (c *Controller) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	c.count.calls.Add(1)
	hosts, err := c.deps.Source.Hosts(ctx)
	if err != nil {
		c.count.failed.Add(1)
		c.deps.Log.Warn("list of hosts not read", zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addHosts(hosts...)
	// A few of them are told of this one; what they know spreads by heartbeats. Asking
	// all of them for all they know, as 121 hosts that had started together did, filled
	// the links for two seconds: 0.4 GB between availability zones.
	c.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(len(hosts), greeted)] {
		if h.ID() != c.self {
			c.tellHosts(h.ID())
		}
	}
}

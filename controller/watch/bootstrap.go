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
	// seedTimeout bounds what a first start waits for other hosts before it reads the
	// list of hosts. Callers come seconds later, and a seed on a small host has to accept
	// connections of hundreds of others first.
	seedTimeout = 1500 * time.Millisecond
	// seedsSeedTimeout is that of a seed, which the others wait for.
	seedsSeedTimeout = 200 * time.Millisecond
	// loadedSeedTimeout is that of a start while callers wait: a seed that is up
	// answers in a few ms.
	loadedSeedTimeout = 15 * time.Millisecond
	// busySeedTimeout is how long such a start goes on asking a seed that is up but
	// has yet to read the store, which takes it 30 to 80 ms.
	busySeedTimeout = 200 * time.Millisecond
	// contacted is how many hosts of the list a start tells of itself.
	contacted = 3
	// seedBackoff is the time between the first two queries to a seed; it doubles up to
	// maxSeedBackoff.
	seedBackoff    = 20 * time.Millisecond
	maxSeedBackoff = 300 * time.Millisecond
	// seedStagger is how long a first start waits for one seed before it queries the
	// next, too.
	seedStagger = 300 * time.Millisecond
	// seedLead is how long a first start then lets the seeds watch before it does: their
	// heartbeats have to wait behind the connections of hundreds of hosts.
	seedLead = 1500 * time.Millisecond
)

// bootstrap tells the seeds of this host and takes in what they know. If a seed is up
// but knows nothing yet, as when all hosts start together, the seeds are the first
// to watch: were every host to do so, the calls to the store would grow with the
// number of hosts.
func (c *Controller) bootstrap(ctx context.Context) {
	if c.deps.UnderLoad {
		c.bootstrapUnderLoad(ctx)
		return
	}
	if c.isSeed() || len(c.deps.Seeds) == 0 {
		c.querySeeds(ctx, seedsSeedTimeout, 0)
		return
	}
	reached, fresh := c.querySeeds(ctx, seedTimeout, seedStagger)
	if fresh {
		return
	}
	if !reached {
		c.readHosts(ctx)
	}
	c.mu.Lock()
	c.decider.DeferUntil(time.Now().Add(seedLead))
	c.mu.Unlock()
}

// bootstrapUnderLoad is bootstrap while callers wait.
func (c *Controller) bootstrapUnderLoad(ctx context.Context) {
	reached, fresh := c.querySeeds(ctx, loadedSeedTimeout, 0)
	if !fresh && reached && !c.isSeed() {
		_, fresh = c.querySeeds(ctx, busySeedTimeout, 0)
	}
	if fresh {
		return
	}
	var g errgroup.Group
	g.Go(func() error {
		c.readOnce(ctx)
		return nil
	})
	g.Go(func() error {
		c.readHosts(ctx)
		return nil
	})
	_ = g.Wait() // neither returns an error; failures are logged there
}

// isSeed reports whether other hosts start by asking this one.
func (c *Controller) isSeed() bool { return slices.Contains(c.deps.Seeds, c.deps.Self.Addr) }

// readOnce reads all topics from the store, without watching it.
//
// Were the seeds asked for everything after all hosts lost power, none would serve before the first
// seed had read the store. Two calls a host are the price of being ready at once. A seed that is up
// is asked for longer instead: hosts that read at the same moment wait for each other.
func (c *Controller) readOnce(ctx context.Context) {
	var g errgroup.Group
	for t := range directory.Topics {
		g.Go(func() error {
			asked := time.Now()
			ch, err := c.ask(ctx, nil, t, 0, c.patience.allowance(asked))
			if err != nil {
				c.count.failed.Add(1)
				c.deps.Log.Warn("store not read at the start", zap.Stringer("topic", t), zap.Error(err))
				return nil
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if ch.Config != nil && ch.Config.Version >= c.version() {
				c.confirm(asked) // a caller may come before this host watches
			}
			c.merge(time.Now(), ch, c.self)
			return nil
		})
	}
	_ = g.Wait() // failures are logged above; the watch tries again
}

// querySeeds queries the seeds for all they know, one after the other, stagger apart. It
// reports whether any was reached, and whether one of them is up to date, which ends the
// wait.
//
// Hundreds of hosts that start together and query all seeds again and again would take the seeds'
// processors, so that no answer gets out. Each host begins with a seed of its own choice, and
// queries it ever less often.
func (c *Controller) querySeeds(ctx context.Context, timeout, stagger time.Duration) (reached, fresh bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	seeds := c.otherSeeds()
	answers := make(chan syncResult, len(seeds))
	for i, id := range seeds {
		go func() {
			if !ctxtime.Sleep(ctx, time.Duration(i)*stagger) {
				answers <- syncResult{}
				return
			}
			answers <- c.querySeed(ctx, id)
		}()
	}
	for range seeds {
		r := <-answers
		reached = reached || r.reached
		if r.fresh && (len(r.ask) == 0 || c.queryReferred(r.ask)) {
			return true, true
		}
	}
	return reached, false
}

// otherSeeds returns the seeds but for this host, in an order of its own.
func (c *Controller) otherSeeds() []ports.HostID {
	var seeds []ports.HostID
	for _, addr := range c.deps.Seeds {
		if id := (directory.Host{Addr: addr}).ID(); id != c.self {
			seeds = append(seeds, id)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// querySeed asks one seed until it is up to date. At a start of all hosts together
// it may not listen yet, or know nothing.
func (c *Controller) querySeed(ctx context.Context, id ports.HostID) syncResult {
	var last syncResult
	pause := seedBackoff
	for {
		r := c.sync(ctx, id, true)
		last.reached = last.reached || r.reached
		if r.fresh {
			return r
		}
		if c.isSeed() || !ctxtime.Sleep(ctx, pause) {
			return last
		}
		pause = min(2*pause, maxSeedBackoff)
	}
}

// referStagger is how long a start waits for one host that a seed named before it asks the
// next, too. The answer is the whole list of targets, over a slow link.
const referStagger = 100 * time.Millisecond

// queryReferred asks hosts that a seed named until one tells all it knows, and reports whether
// one did. Some may be down, and are silent: the next is asked meanwhile.
func (c *Controller) queryReferred(ids []ports.HostID) bool {
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
	// A few of them are told of this one; what they know spreads by heartbeats. Hosts that
	// start together and ask all others for all they know fill the links.
	c.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(len(hosts), contacted)] {
		if h.ID() != c.self {
			c.tellHosts(h.ID())
		}
	}
}

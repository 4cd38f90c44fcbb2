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
	// seedTimeout bounds how long a first start waits for the seeds before it reads the list of
	// hosts from the store. Callers arrive seconds later, and a seed on a small host first has
	// to accept connections from hundreds of other hosts.
	seedTimeout = 1500 * time.Millisecond
	// seedsSeedTimeout is seedTimeout for a host that is itself a seed: the others wait for it.
	seedsSeedTimeout = 200 * time.Millisecond
	// loadedSeedTimeout is seedTimeout for a start while callers wait: a seed that is up answers
	// within a few milliseconds.
	loadedSeedTimeout = 15 * time.Millisecond
	// busySeedTimeout is how long such a start keeps asking a seed that is up but has yet to
	// read the store, which takes it 30 to 80 ms.
	busySeedTimeout = 200 * time.Millisecond
	// contactedHosts is how many hosts of the list read from the store a starting host contacts.
	contactedHosts = 3
	// seedBackoff is the delay between the first two queries to a seed; it doubles up to
	// maxSeedBackoff.
	seedBackoff    = 20 * time.Millisecond
	maxSeedBackoff = 300 * time.Millisecond
	// seedStagger is how long a first start waits for one seed before it also queries the next.
	seedStagger = 300 * time.Millisecond
	// seedHeadStart is how long a first start then leaves watching to the seeds: their
	// heartbeats queue behind the connections of hundreds of hosts.
	seedHeadStart = 1500 * time.Millisecond
)

// bootstrap announces this host to the seeds and merges the state that they return. If a seed is
// up but has no state yet, as when all hosts start together, the seeds get to watch first: if
// every host watched, the number of calls to the store would grow with the number of hosts.
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
	c.decider.DeferUntil(time.Now().Add(seedHeadStart))
	c.mu.Unlock()
}

// bootstrapUnderLoad is bootstrap for a start while callers are waiting.
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
	_ = g.Wait() // neither returns an error; they log failures themselves
}

// isSeed reports whether this host is one of the seeds.
func (c *Controller) isSeed() bool { return slices.Contains(c.deps.Seeds, c.deps.Self.Addr) }

// readOnce reads all topics from the store without watching it.
//
// When all hosts restart after a power loss, waiting for the seeds would keep every host from
// serving until the first seed had read the store; two calls per host buy immediate readiness. A
// seed that is up is queried for longer instead, because hosts that read the store at the same
// moment queue behind each other.
func (c *Controller) readOnce(ctx context.Context) {
	var g errgroup.Group
	var complete [directory.Topics]bool
	began := time.Now()
	for t := range directory.Topics {
		g.Go(func() error {
			asked := time.Now()
			ch, err := c.fetch(ctx, nil, t, 0, c.timeout.next(asked))
			if err != nil {
				c.count.failed.Add(1)
				c.deps.Log.Warn("failed to read the store at startup", zap.Stringer("topic", t), zap.Error(err))
				return nil
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if ch.Config != nil && ch.Config.Version >= c.version() {
				c.noteConfirmed(asked) // a caller may arrive before this host watches
			}
			c.merge(time.Now(), ch, c.self)
			complete[t] = true
			return nil
		})
	}
	_ = g.Wait() // failures are logged above; the watch retries
	if !slices.Contains(complete[:], false) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.noteCurrent(began)
	}
}

// querySeeds fetches the state from the seeds, starting one query every stagger. It reports
// whether any seed was reached, and whether one of them was up to date, which ends the wait.
//
// Hundreds of hosts that start together and poll all seeds would saturate the seeds' CPUs, so
// that no reply gets out. So each host starts with a random seed and polls with exponential
// backoff.
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
		if r.fresh && (len(r.referrals) == 0 || c.queryReferrals(r.referrals)) {
			return true, true
		}
	}
	return reached, false
}

// otherSeeds returns the seeds except this host, in random order.
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

// querySeed polls one seed until it is up to date. When all hosts start together, the seed may
// not be listening yet, or may have no state.
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

// referralStagger is how long a starting host waits for one referred host before it also asks
// the next. The reply is the whole list of targets, possibly over a slow link.
const referralStagger = 100 * time.Millisecond

// queryReferrals asks the hosts that a seed referred this one to until one returns its state,
// and reports whether one did. Some may be down and never reply, so the next is asked meanwhile.
func (c *Controller) queryReferrals(ids []ports.HostID) bool {
	c.mu.Lock()
	for _, id := range ids {
		c.mergeHosts(directory.Host{Addr: string(id)})
	}
	c.mu.Unlock()
	answers := make(chan bool, len(ids))
	for asked, open := 0, 0; asked < len(ids) || open > 0; {
		var stagger <-chan time.Time
		if asked < len(ids) {
			id := ids[asked]
			asked, open = asked+1, open+1
			go func() { answers <- c.syncWithin(id, referralTimeout).fresh }()
			stagger = time.After(referralStagger)
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

// readHosts reads the list of hosts from the store, for a start whose seeds are all stale.
func (c *Controller) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	c.count.calls.Add(1)
	hosts, err := c.deps.Source.Hosts(ctx)
	if err != nil {
		c.count.failed.Add(1)
		c.deps.Log.Warn("failed to read the list of hosts", zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeHosts(hosts...)
	// Contact only a few of them; heartbeats spread what they learn. If every starting host
	// asked all others for their state, the links would be saturated.
	c.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(len(hosts), contactedHosts)] {
		if h.ID() != c.self {
			c.exchangeHostsWith(h.ID())
		}
	}
}

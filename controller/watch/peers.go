package watch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// seedTimeout bounds what a start waits for other hosts before it reads the
	// store itself: a few round trips and the start of a process beside it.
	seedTimeout = 400 * time.Millisecond
	// hurriedSeedTimeout is that of a start while callers wait: a seed that is up
	// answers in a few ms.
	hurriedSeedTimeout = 40 * time.Millisecond
	// busySeedTimeout is how long such a start goes on asking a seed that is up but
	// has yet to read the store, which takes it 30 to 80 ms.
	busySeedTimeout = 200 * time.Millisecond
	// greeted is how many hosts of the list a start tells of itself.
	greeted = 3
	// seedPause is the time between two questions to a seed.
	seedPause = 20 * time.Millisecond
	// syncTimeout bounds an exchange of all that two hosts know.
	syncTimeout = time.Second
	// catchUpAfter is how long a host that is behind waits for the change itself.
	catchUpAfter = 150 * time.Millisecond
	// exchangeEvery bounds how often a host tells whom it knows.
	exchangeEvery = time.Second
	// seedsFirst is how long a start lets the seeds go first: they start within
	// 0.3 s of any other host, and then read the store in some 10 ms.
	seedsFirst = 500 * time.Millisecond
	// announceEvery bounds how often the list of hosts is written down.
	announceEvery = 2 * time.Second
)

// onBeat takes in a watcher's heartbeat.
func (c *Controller) onBeat(ctx context.Context, from ports.HostID, b beat) (struct{}, error) {
	c.count.beats.Add(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	was, had := c.beats[from]
	c.beats[from] = watchers.Beat{Heard: now, StoreOK: b.StoreOK, StoreAge: b.StoreAge, StoreWait: b.StoreWait}
	c.heard(b.Host)
	if b.StoreOK {
		c.storeServed(now.Add(-b.StoreAge))
	}
	if !had || was.StoreOK != b.StoreOK || !was.Fresh(now) {
		c.wakeUp()
	}
	if c.behind(b) {
		c.checkLater(from, b)
	}
	if b.Hosts != c.hostDigest() {
		c.exchangeHosts(from, now)
	}
	return struct{}{}, nil
}

// onRefused takes in that the store did not serve another host's try to watch. The turns
// to try it are further apart once it is out for all.
func (c *Controller) onRefused(_ context.Context, from ports.HostID, _ refused) (struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[from] = time.Now()
	c.wakeUp()
	return struct{}{}, nil
}

// storeServed takes in that the store answered some host at a moment: tries that failed
// before it say nothing any more. The lock is held.
func (c *Controller) storeServed(at time.Time) {
	for id, refusedAt := range c.refused {
		if refusedAt.Before(at) {
			delete(c.refused, id)
		}
	}
}

// behind reports whether a watcher knows more than this host. The lock is held.
//
// Failure: the message of one change is lost with the connection it was on, and that of
// the next arrives before the next heartbeat. Symptom: with the newest revision alone
// compared, the host never noticed, and went on using a target that had left. The digest
// is that of all targets listed, so that any difference shows.
func (c *Controller) behind(b beat) bool {
	newest := c.state.Newest()
	return newest < b.Newest ||
		newest == b.Newest && c.state.Digest() != b.Digest ||
		!c.state.HasTargets() ||
		c.version() < b.Version
}

// version is that of the configuration at hand, or 0. The lock is held.
func (c *Controller) version() uint64 {
	if cfg := c.state.Config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// checkLater has this host ask for all that it missed, if it is still behind after
// a moment: the change itself may be on its way behind the heartbeat. It asks a host
// of its own availability zone first, so that a watcher need not answer all hosts at
// once and the bytes stay inside the zone. The lock is held.
func (c *Controller) checkLater(from ports.HostID, b beat) {
	if c.checking {
		return
	}
	c.checking = true
	time.AfterFunc(catchUpAfter, func() {
		if near, ok := c.stillBehind(b); ok && near != "" {
			_ = c.syncWithin(near, syncTimeout/2)
		}
		if _, ok := c.stillBehind(b); ok {
			_ = c.syncWithin(from, syncTimeout)
		}
		c.mu.Lock()
		c.checking = false
		c.mu.Unlock()
	})
}

// stillBehind reports whether this host is behind a heartbeat, and names another
// host of its zone.
func (c *Controller) stillBehind(b beat) (near ports.HostID, behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []ports.HostID
	for id, h := range c.hosts {
		if id != c.self && h.Zone == c.deps.Self.Zone {
			others = append(others, id)
		}
	}
	if len(others) > 0 {
		near = others[c.rng.IntN(len(others))]
	}
	return near, c.behind(b)
}

// exchangeHosts tells a watcher whom this host knows and learns whom it knows, not
// too often. The lock is held.
func (c *Controller) exchangeHosts(with ports.HostID, now time.Time) {
	if now.Before(c.exchangeAt) {
		return
	}
	c.exchangeAt = now.Add(exchangeEvery + time.Duration(c.rng.Int64N(int64(exchangeEvery))))
	c.tellHosts(with)
}

// tellHosts exchanges with another host whom both know. The lock is held.
func (c *Controller) tellHosts(with ports.HostID) {
	msg := hostsMessage{Hosts: c.hostList(), Gone: c.goneList()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		reply, err := peer.Call[hostsMessage](ctx, c.deps.Link, with, kindHosts, msg)
		if err != nil {
			return // the next heartbeat asks again
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.addHosts(reply.Hosts...)
		c.leaveOutAll(time.Now(), reply.Gone, with)
	}()
}

// onHosts takes in whom another host knows, and tells whom this one knows.
func (c *Controller) onHosts(_ context.Context, from ports.HostID, msg hostsMessage) (hostsMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.gone, from)
	c.addHosts(msg.Hosts...)
	c.leaveOutAll(time.Now(), msg.Gone, from)
	return hostsMessage{Hosts: c.hostList(), Gone: c.goneList()}, nil
}

// onChanges takes in what a watcher saw.
func (c *Controller) onChanges(_ context.Context, from ports.HostID, ch directory.Changes) (struct{}, error) {
	c.count.steps.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(time.Now(), ch, from)
	return struct{}{}, nil
}

// onSync tells another host all that this one knows.
func (c *Controller) onSync(_ context.Context, _ ports.HostID, req syncRequest) (syncReply, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard(req.Host)
	fresh := len(watchers.Fresh(now, c.beats)) > 0 || c.watch != nil && c.watch.storeOK()
	return syncReply{
		Fresh:   fresh && c.state.HasTargets() && c.state.Config() != nil,
		Changes: c.state.Whole(now, req.Version),
		Hosts:   c.hostList(),
	}, nil
}

// syncResult tells whether a host was reached and whether it is up to date.
type syncResult struct{ reached, fresh bool }

func (c *Controller) syncWithin(from ports.HostID, d time.Duration) syncResult {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return c.sync(ctx, from)
}

// sync asks a host for all it knows.
func (c *Controller) sync(ctx context.Context, from ports.HostID) syncResult {
	c.count.syncs.Add(1)
	c.mu.Lock()
	req := syncRequest{Host: c.deps.Self, Version: c.version()}
	c.mu.Unlock()
	reply, err := peer.Call[syncReply](ctx, c.deps.Link, from, kindSync, req)
	if err != nil {
		c.deps.Log.Debug("peer did not tell what it knows", zap.String("peer", string(from)), zap.Error(err))
		return syncResult{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addHosts(reply.Hosts...)
	c.merge(time.Now(), reply.Changes, from)
	return syncResult{reached: true, fresh: reply.Fresh}
}

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
			ch, err := c.ask(ctx, nil, t, 0, firstAllowance)
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
		if r.fresh {
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
		r := c.sync(ctx, id)
		last.reached = last.reached || r.reached
		if r.fresh {
			return r
		}
		if slices.Contains(c.deps.Seeds, c.deps.Self.Addr) || !ctxtime.Sleep(ctx, seedPause) {
			return last
		}
	}
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

// announceIfDue has the first of the watchers write down the hosts that it knows.
// The lock is held.
func (c *Controller) announceIfDue(ctx context.Context, now time.Time) {
	digest := c.hostDigest()
	if digest == c.announced || now.Before(c.announceAt) || !c.watch.storeOK() {
		return
	}
	if !watchers.First(c.self, watchers.Fresh(now, c.beats)) {
		return
	}
	c.announceAt = now.Add(announceEvery)
	hosts := c.hostList()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		c.count.calls.Add(1)
		if err := c.deps.Source.Announce(ctx, hosts); err != nil {
			c.count.failed.Add(1)
			c.deps.Log.Warn("list of hosts not written down", zap.Error(err))
			return
		}
		c.mu.Lock()
		c.announced = digest
		c.mu.Unlock()
	}()
}

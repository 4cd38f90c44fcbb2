package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// seedTimeout bounds what a start waits for other hosts before it reads the
	// store itself: a few round trips and the start of a process beside it.
	seedTimeout = 300 * time.Millisecond
	// syncTimeout bounds an exchange of all that two hosts know.
	syncTimeout = time.Second
)

// onBeat takes in a watcher's heartbeat.
func (c *Controller) onBeat(ctx context.Context, from ports.HostID, b beat) (struct{}, error) {
	c.count.beats.Add(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	was, had := c.beats[from]
	c.beats[from] = watchers.Beat{Heard: now, StoreOK: b.StoreOK, StoreAge: b.StoreAge}
	c.addHosts(b.Host)
	if !had || was.StoreOK != b.StoreOK || !was.Fresh(now) {
		c.wakeUp()
	}
	behind := c.state.Newest() < b.Newest || b.Version > 0 && (c.state.Config() == nil || c.state.Config().Version < b.Version)
	if behind || b.Hosts != c.hostDigest() {
		c.startSync(from)
	}
	return struct{}{}, nil
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
	c.addHosts(append(req.Hosts, req.Host)...)
	fresh := watchers.AnyFresh(now, c.beats) || c.watch != nil && c.watch.storeOK()
	return syncReply{
		Fresh:   fresh && c.state.HasTargets() && c.state.Config() != nil,
		Changes: c.state.Whole(now),
		Hosts:   c.hostList(),
	}, nil
}

// startSync asks a host for all it knows, in the background and once at a time.
// The lock is held.
func (c *Controller) startSync(from ports.HostID) {
	if c.syncing[from] {
		return
	}
	c.syncing[from] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		c.sync(ctx, from)
		c.mu.Lock()
		delete(c.syncing, from)
		c.mu.Unlock()
	}()
}

// sync asks a host for all it knows and reports whether that is up to date.
func (c *Controller) sync(ctx context.Context, from ports.HostID) bool {
	c.count.syncs.Add(1)
	c.mu.Lock()
	req := syncRequest{Host: c.deps.Self, Hosts: c.hostList()}
	c.mu.Unlock()
	reply, err := peer.Call[syncReply](ctx, c.deps.Link, from, kindSync, req)
	if err != nil {
		c.deps.Log.Debug("peer did not tell what it knows", zap.String("peer", string(from)), zap.Error(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addHosts(reply.Hosts...)
	c.merge(time.Now(), reply.Changes, from)
	return reply.Fresh
}

// askSeeds asks the seeds for all they know and reports whether one of them is
// up to date. The first that is ends the wait.
func (c *Controller) askSeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answers := make(chan bool, len(c.deps.Seeds))
	asked := 0
	for _, addr := range c.deps.Seeds {
		id := directory.Host{Addr: addr}.ID()
		if id == c.self {
			continue
		}
		asked++
		go func() { answers <- c.sync(ctx, id) }()
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// readHosts learns the other hosts from the store and writes this one down. Seeds
// may all be stale, so a start without them has only this.
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
	c.addHosts(hosts...)
	c.mu.Unlock()
	for _, h := range hosts {
		if h == c.deps.Self {
			return
		}
	}
	c.count.calls.Add(1)
	if err := c.deps.Source.Announce(ctx, c.deps.Self); err != nil {
		c.count.failed.Add(1)
		c.deps.Log.Warn("host not written down", zap.Error(err))
	}
}

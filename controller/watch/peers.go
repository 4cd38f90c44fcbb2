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
	// syncTimeout bounds an exchange of all that two hosts know.
	syncTimeout = time.Second
	// catchUpAfter is how long a host that is behind waits for the change itself.
	catchUpAfter = 150 * time.Millisecond
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
		Changes: c.state.Whole(now, req.Version, req.Buckets),
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
	req := syncRequest{Host: c.deps.Self, Version: c.version(), Buckets: c.state.Buckets()}
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

package watch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// syncTimeout bounds the transfer of a whole state between two hosts.
	syncTimeout = time.Second
	// referralTimeout bounds it for a host that starts, while callers may be waiting.
	referralTimeout = 400 * time.Millisecond
)

// onHeartbeat handles a watcher's heartbeat.
func (c *Controller) onHeartbeat(ctx context.Context, from ports.HostID, b heartbeat) (struct{}, error) {
	c.count.heartbeats.Add(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, certain := c.sentAt(now, from, b)
	previous, known := c.heartbeats[from]
	c.heartbeats[from] = watchers.Heartbeat{SentAt: sent, StoreOK: b.StoreOK, StoreAge: b.StoreAge, StoreWait: b.StoreWait}
	c.noteHost(b.Host)
	c.noteVersion(b.Version)
	if b.StoreOK {
		c.storeServed(sent.Add(-b.StoreAge))
	}
	c.noteTargetsAnswer(sent, b.targets(), from)
	if !known || previous.StoreOK != b.StoreOK || !previous.Fresh(now) {
		c.wakeUp()
	}
	c.compareDigest(b.Newest, b.Digest)
	if c.behind(b) {
		c.noteGap(sent, certain, b)
		c.scheduleCatchUp(from, func() bool { return c.behind(b) || c.lostChange })
	} else if certain {
		c.noteCurrent(b.currentAt(sent))
	}
	if b.Hosts == c.hostDigest() {
		c.noteComplete()
	} else {
		c.exchangeHosts(from, now)
	}
	return struct{}{}, nil
}

// onRefused records that the store did not serve another host's attempt to watch. The attempts
// are spaced further apart once the store is down for all hosts.
func (c *Controller) onRefused(_ context.Context, from ports.HostID, r refused) (struct{}, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteTargetsAnswer(now, r.Targets, from)
	c.refusedAt[from] = now
	c.wakeUp()
	return struct{}{}, nil
}

// noteTargetsAnswer records when the store answered another host about targets, by a message that
// host sent at a time. c.mu must be held.
func (c *Controller) noteTargetsAnswer(sent time.Time, a targetsAnswer, from ports.HostID) {
	if a.Answered {
		c.noteOutage(sent.Add(-a.Age), from)
	}
}

// storeServed records that the store answered some host at a time: attempts that failed before
// then no longer count. c.mu must be held.
func (c *Controller) storeServed(at time.Time) {
	for id, refusedAt := range c.refusedAt {
		if refusedAt.Before(at) {
			delete(c.refusedAt, id)
		}
	}
}

// behind reports whether a watcher has state that this host lacks. c.mu must be held.
//
// Comparing the newest revisions is not enough: they may be equal although an earlier change was
// lost. The digest covers all listed targets, so that any difference shows.
func (c *Controller) behind(b heartbeat) bool {
	newest := c.state.Newest()
	return newest < b.Newest ||
		newest == b.Newest && c.state.Digest() != b.Digest ||
		!c.state.HasTargets() ||
		c.version() < b.Version ||
		c.state.Evacuations().Behind(b.EvacuationsAt, b.Evacuations)
}

// version is the version of the current configuration, or 0 if there is none. c.mu must be held.
func (c *Controller) version() uint64 {
	if cfg := c.state.Config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// onChanges applies changes sent by a watcher.
func (c *Controller) onChanges(_ context.Context, from ports.HostID, s packedChanges) (struct{}, error) {
	c.count.changes.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(time.Now(), s.Value, from)
	c.checkDigest(s.Value, from)
	return struct{}{}, nil
}

// checkDigest schedules a catch-up if this host's list of targets differs from the sender's
// after the same changes. c.mu must be held.
//
// While changes keep coming, the digest of a heartbeat is almost never comparable.
func (c *Controller) checkDigest(ch directory.Changes, from ports.HostID) {
	if ch.Digest == 0 {
		return
	}
	c.compareDigest(ch.DigestAt, ch.Digest)
	if c.lostChange {
		c.scheduleCatchUp(c.watcherFor(from), func() bool { return c.lostChange })
	}
}

// compareDigest records whether this host lost a change, if it has the same newest revision as
// another one had with this digest. c.mu must be held.
//
// Lists with different newest revisions can't be compared, so a later change does not reset
// lostChange: otherwise hosts would send requests to a draining target for as long as changes keep
// coming.
func (c *Controller) compareDigest(newest directory.Revision, digest uint64) {
	if newest == c.state.Newest() && c.state.HasTargets() {
		c.lostChange = digest != c.state.Digest()
	}
}

// watcherFor returns the sender of a change if it is a watcher, or else a random watcher. It returns
// the sender if no watcher is known. c.mu must be held.
//
// A relay may lack the same change as the hosts that it forwards to, so its reply does not bring
// them up to date.
func (c *Controller) watcherFor(from ports.HostID) ports.HostID {
	ids := watchers.FreshWatchers(time.Now(), c.heartbeats)
	if len(ids) == 0 || slices.Contains(ids, from) {
		return from
	}
	slices.Sort(ids)
	return ids[c.rng.IntN(len(ids))]
}

// maxReferrals is how many hosts a host without state is referred to: the first that replies
// serves it, and some may themselves be starting.
const maxReferrals = 4

// referrals returns hosts of the sender's zone, followed by this host. c.mu must be held.
//
// If all hosts that start together fetched the whole state from the seeds, the seeds' links
// would be saturated.
func (c *Controller) referrals(asker directory.Host) []ports.HostID {
	var ids []ports.HostID
	for id, h := range c.hosts {
		if h.Zone == asker.Zone && id != asker.ID() && id != c.self {
			ids = append(ids, id)
		}
	}
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return append(ids[:min(maxReferrals, len(ids))], c.self)
}

// syncResult says whether a host was reached, whether it is up to date, and which hosts it
// referred this one to.
type syncResult struct {
	reached, fresh bool
	referrals      []ports.HostID
}

func (c *Controller) syncWithin(from ports.HostID, d time.Duration) syncResult {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return c.sync(ctx, from, false)
}

// sync fetches the state that this host lacks from another host, or referrals to others.
func (c *Controller) sync(ctx context.Context, from ports.HostID, refer bool) syncResult {
	c.count.syncs.Add(1)
	c.mu.Lock()
	req := syncRequest{Refer: refer, Host: c.deps.Self, Version: c.version(), Buckets: c.state.Buckets()}
	c.mu.Unlock()
	asked := time.Now()
	reply, err := peer.Call[syncReply](ctx, c.deps.Link, from, kindSync, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.noteFailedSync(from, req, time.Since(asked), err)
		return syncResult{}
	}
	c.mergeHosts(reply.Hosts.Value...)
	c.merge(time.Now(), reply.Changes.Value, from)
	if reply.Age > 0 {
		c.noteCurrent(asked.Add(-reply.Age))
	}
	return syncResult{reached: true, fresh: reply.Fresh, referrals: reply.Referrals}
}

// noteFailedSync counts and logs that a host did not send the state that this host lacks. c.mu
// must be held.
func (c *Controller) noteFailedSync(from ports.HostID, req syncRequest, took time.Duration, err error) {
	c.count.failedSyncs.Add(1)
	if !c.isServing || !c.logLimiter.Allow() {
		return // a host that starts asks hosts that may not be up yet
	}
	c.deps.Log.Info("failed to fetch state from peer", zap.String("peer", string(from)), zap.Duration("took", took),
		zap.Uint64("version", req.Version), zap.Uint64("newest", c.deps.Board.Confirmation.Load().Newest),
		zap.Stringer("revision", c.state.Newest()), zap.Error(err))
}

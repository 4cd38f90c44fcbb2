package watch

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

const (
	// gatherDelay is how long a watcher waits after a change before it asks for more. Changes
	// come in series, as when targets are replaced one after another, and each answer is a call
	// that is paid for. It is a twentieth of the time within which a leaving target must be
	// known.
	gatherDelay = 100 * time.Millisecond
	// rankDelay is how long the second watcher leaves it to the first to forward a change. It
	// merges what the first one forwarded and then has nothing to add, so that every host gets a
	// change once and not twice. Further watchers, of which there may briefly be several, wait
	// for all before them; maxRank bounds their wait.
	rankDelay = 60 * time.Millisecond
	maxRank   = 5
	// returnHold is how long after an outage of the store the targets that it dropped meanwhile
	// are still used: those that are alive are listed again within about 2 s of its return.
	returnHold = 2200 * time.Millisecond
	// suspectHold replaces returnHold when only other hosts report that the store fails them;
	// suspectFor is how long such a report counts.
	suspectHold = 700 * time.Millisecond
	suspectFor  = 3 * time.Second
	// minOutage is the shortest outage of the store after which entries expire: they last for
	// three renewals of 1.5 s, the first of which may have come right before the outage. It
	// leaves 0.1 s for heartbeats in transit.
	minOutage = 2900 * time.Millisecond
)

// storeWatch is this host's watch of the store.
type storeWatch struct {
	cancel context.CancelFunc
	// lastOK is when the store last answered for each topic, in nanoseconds since started; 0 if
	// it never did.
	lastOK [directory.Topics]atomic.Int64
	// failing is set for topics whose last call failed.
	failing [directory.Topics]atomic.Bool
	started time.Time
	// wait is the longest time for which the store may hold the watch in progress, in
	// nanoseconds.
	wait atomic.Int64
	// heartbeatAt is when the last heartbeat was sent, sweptAt when unreachable hosts were last
	// looked for.
	heartbeatAt time.Time
	sweptAt     time.Time
	// configAt is a time at which the store certainly had no configuration newer than the
	// current one; zero if none is known.
	configAt time.Time
	// currentAt is, for each topic, a time at which the store certainly had nothing newer than this
	// host; zero if none is known.
	currentAt [directory.Topics]time.Time
	// rereadAt is when to read the configuration in full again; zero if that is not needed.
	rereadAt time.Time
}

// storeOK reports whether the store currently serves this host.
func (w *storeWatch) storeOK() bool {
	for t := range directory.Topics {
		if w.failing[t].Load() || w.lastOK[t].Load() == 0 {
			return false
		}
	}
	return true
}

// serves reports whether the store has served this watch at all, for both topics.
func (w *storeWatch) serves() bool { return w.lastOK[0].Load() > 0 && w.lastOK[1].Load() > 0 }

// currentUntil returns a time at which the store certainly had nothing newer than this host on any
// topic; zero if none is known.
func (w *storeWatch) currentUntil() time.Time {
	earliest := w.currentAt[0]
	for _, at := range w.currentAt {
		if at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// storeAge is the age of the older of the topics' last answers.
func (w *storeWatch) storeAge(now time.Time) time.Duration {
	oldest := w.lastOK[0].Load()
	for t := range directory.Topics {
		oldest = min(oldest, w.lastOK[t].Load())
	}
	return now.Sub(w.started) - time.Duration(oldest)
}

// targetsAnswer tells when the store last answered this host about targets.
func (w *storeWatch) targetsAnswer(now time.Time) targetsAnswer {
	last := time.Duration(w.lastOK[directory.TopicTargets].Load())
	return targetsAnswer{Answered: last > 0, Age: now.Sub(w.started) - last}
}

// startWatching starts watching all topics. c.mu must be held.
func (c *Controller) startWatching(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	w := &storeWatch{cancel: cancel, started: time.Now()}
	c.watch = w
	c.isWatching.Store(true)
	c.count.takeovers.Add(1)
	// A watcher has to know all hosts so that its heartbeats reach them; the seeds know every
	// host that has started.
	for _, addr := range c.deps.Seeds {
		if addr != c.deps.Self.Addr {
			c.exchangeHostsWith(directory.Host{Addr: addr}.ID())
		}
	}
	for t := range directory.Topics {
		go c.watchTopic(ctx, w, t)
	}
}

// stopWatching ends the watch, if there is one, when Run returns.
func (c *Controller) stopWatching(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != nil {
		c.endWatching(reason)
	}
}

// endWatching ends the watch. An attempt that the store did not serve is not logged: all hosts
// keep making them while it is down. c.mu must be held.
func (c *Controller) endWatching(reason string) {
	if c.watch.serves() {
		c.deps.Log.Info("no longer watching the store", zap.String("why", reason))
	}
	c.watch.cancel()
	c.watch = nil
	c.isWatching.Store(false)
}

// watchTopic follows one topic until ctx ends.
func (c *Controller) watchTopic(ctx context.Context, w *storeWatch, t directory.Topic) {
	var after directory.Revision
	for ctx.Err() == nil {
		a := c.call(ctx, w, t, after)
		if a.err != nil && ctx.Err() == nil && !a.historyGone() {
			c.storeFailed(w, t, a.askedAt, a.err)
			a = c.awaitReturn(ctx, w, t, after)
		}
		if ctx.Err() != nil {
			return
		}
		if a.historyGone() {
			c.deps.Log.Warn("store no longer has the history, reading in full", zap.Stringer("topic", t))
			after = 0
			continue
		}
		after = a.changes.Revision
		if !c.apply(ctx, w, t, a) {
			return
		}
	}
}

// apply applies an answer of the store after those of the watchers that forward before this
// host, and waits for further changes if there were any. It returns false once ctx ends.
func (c *Controller) apply(ctx context.Context, w *storeWatch, t directory.Topic, a answer) bool {
	if delay := time.Duration(min(c.rank(), maxRank)) * rankDelay; !a.changes.Empty() && !ctxtime.Sleep(ctx, delay) {
		return false
	}
	if t == directory.TopicConfig {
		a.changes = c.withOlderTargets(ctx, a.changes)
	}
	c.storeAnswered(w, t, a)
	return a.changes.Empty() || ctxtime.Sleep(ctx, gatherDelay)
}

// rank is the number of other watchers that forward changes before this host.
func (c *Controller) rank() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return watchers.Rank(c.self, watchers.FreshWatchers(time.Now(), c.heartbeats))
}

// reportIfSlow tells the other hosts, once baseTimeout has passed, that the store does not serve
// this host's attempt to watch, while the attempt goes on: if they heard only when it gives up,
// more of them would try meanwhile.
func (c *Controller) reportIfSlow(w *storeWatch, t directory.Topic) *time.Timer {
	return time.AfterFunc(baseTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.watch == w && w.lastOK[t].Load() == 0 {
			c.reportRefused(time.Now())
		}
	})
}

// reportRefused tells all hosts that the store does not serve this one. c.mu must be held.
func (c *Controller) reportRefused(now time.Time) {
	c.refusedAt[c.self] = now
	c.broadcast(kindRefused, refused{Targets: c.watch.targetsAnswer(now)})
}

// storeFailed handles a failed call to the store. A host that was only trying to take over gives
// up; a watcher carries on and tells the others.
func (c *Controller) storeFailed(w *storeWatch, t directory.Topic, asked time.Time, err error) {
	c.count.failed.Add(1)
	first := !w.failing[t].Swap(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeFailing {
		c.deps.Log.Warn("store lost", zap.Stringer("topic", t), zap.Duration("took", time.Since(asked)), zap.Error(err))
	}
	c.storeFailing = true
	if c.watch != w {
		return
	}
	if w.lastOK[t].Load() == 0 {
		now := time.Now()
		c.reportRefused(now)
		c.decider.RecordFailure(now, c.view())
		c.endWatching("store does not serve this host")
		c.wakeUp()
		return
	}
	if first {
		c.heartbeatNow(time.Now())
	}
}

// storeAnswered merges an answer from the store and forwards what was new to all hosts.
func (c *Controller) storeAnswered(w *storeWatch, t directory.Topic, a answer) {
	now, ch := time.Now(), a.changes
	regained := w.failing[t].Swap(false)
	first := w.lastOK[t].Swap(int64(a.receivedAt.Sub(w.started))) == 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != w {
		return
	}
	c.storeServed(a.receivedAt)
	if t == directory.TopicTargets {
		c.noteOutage(a.receivedAt, c.self)
	}
	if c.storeFailing {
		c.deps.Log.Info("store regained", zap.Stringer("topic", t))
	}
	if first && w.serves() {
		c.deps.Log.Info("watching the store", zap.Int("hosts", len(c.hosts)))
	}
	c.noteRestore(now, ch)
	if c.deferEvacuationEnds(now, &ch) {
		w.rereadAt = c.restoredAt.Add(returnHold)
	}
	c.storeFailing = false
	ch.Hold = c.hold(now)
	previous := c.state.Config()
	hadTargets := c.state.HasTargets()
	var applied directory.Changes
	if !ch.Empty() {
		applied = c.merge(now, ch, c.self)
	}
	if t == directory.TopicConfig {
		c.noteConfig(w, ch, a.validAt())
	}
	w.currentAt[t] = a.currentAt
	if t == directory.TopicTargets {
		c.state.Advance(ch.Revision)
		if !hadTargets {
			applied = ch // the other hosts may not have the list yet either
		}
	}
	c.noteCurrent(w.currentUntil())
	if !applied.Empty() {
		applied.Digest, applied.DigestAt = c.state.Digest(), c.state.Newest()
		c.forward(withDelta(applied, previous))
	}
	if (first || regained) && w.storeOK() {
		c.heartbeatNow(now)
	}
}

// withDelta replaces a configuration by its difference to the previous one, if that is known.
func withDelta(ch directory.Changes, previous *routing.Config) directory.Changes {
	if previous == nil || ch.Config == nil || ch.Config.Version <= previous.Version {
		return ch
	}
	d := routing.Diff(previous, ch.Config)
	ch.Config, ch.Delta = nil, &d
	return ch
}

// outageHold is for how much longer removed targets are used because the store was down. c.mu
// must be held.
func (c *Controller) outageHold(now time.Time) time.Duration {
	return max(0, returnHold-now.Sub(c.outageEnd))
}

// noteOutage records that the store answered a host about targets at a time: if it had answered
// none for minOutage, it was down until then, although it may have answered about the
// configuration meanwhile. A host whose own link is saturated misses the store for a shorter
// time, and a removal in that time is genuine. c.mu must be held.
func (c *Controller) noteOutage(at time.Time, host ports.HostID) {
	if gap := at.Sub(c.targetsServedAt); gap >= minOutage {
		c.outageEnd = at
		c.count.outages.Add(1)
		c.deps.Log.Warn("store was out, removed targets stay in use", zap.Duration("out", gap),
			zap.Duration("age", time.Since(at)), zap.Duration("for", c.outageHold(time.Now())), zap.String("from", string(host)))
	}
	if at.After(c.targetsServedAt) {
		c.targetsServedAt = at
	}
}

// hold returns for how long targets that were removed from the store without draining are still
// used. c.mu must be held.
//
// The store may have just returned from an outage in which it dropped the entries of targets
// that could not renew them. If this host only heard that the store fails others, the store may
// equally be healthy and reject just those hosts: then the removal is genuine, and no more than
// suspectHold is left of the time within which it must take effect. If the store was down for
// all hosts, those others report so themselves once it serves them again, and the hold is
// extended.
func (c *Controller) hold(now time.Time) time.Duration {
	hold := c.outageHold(now)
	for _, b := range c.heartbeats {
		if !b.StoreOK && now.Sub(b.SentAt) < suspectFor {
			hold = max(hold, suspectHold)
		}
	}
	return hold
}

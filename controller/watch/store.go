package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/routing"
)

const (
	// gather is how long a watcher waits after news before it asks for more. News
	// come in series, as when targets are replaced one after the other, and each
	// answer is a call that is paid for. It is a twentieth of the time in which a
	// leaving target must be known.
	gather = 100 * time.Millisecond
	// secondAfter is how long the second watcher leaves it to the first to pass a
	// change on. It takes in what the first passed on, and then has nothing to add:
	// every host gets a change once and not twice. Further watchers, of which there may
	// be several for a moment, leave it to those before them; maxRank bounds their wait.
	secondAfter = 60 * time.Millisecond
	maxRank     = 5
	// retryPause is the time until the first further try while the store fails a
	// watcher; it doubles up to maxRetryPause. Calls that are refused are paid for,
	// too, and an outage lasts seconds.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// returnHold is how long after the store's return targets that it dropped
	// meanwhile are still used: those that live are listed again within about
	// 2 s of its return.
	returnHold = 2200 * time.Millisecond
	// suspectHold is that time on the word of others alone, suspectFor how long
	// such a word counts.
	suspectHold = 700 * time.Millisecond
	suspectFor  = 3 * time.Second
	// lapseAfter is how long the store must have been out for entries to run out: they last
	// for three renewals of 1.5 s, the first of which may have come right before. It leaves
	// 0.1 s for heartbeats on their way.
	lapseAfter = 2900 * time.Millisecond
)

// watching is this host's watch of the store.
type watching struct {
	cancel context.CancelFunc
	// lastOK is when the store last answered each topic, in nanoseconds since
	// started; 0 is never.
	lastOK [directory.Topics]atomic.Int64
	// failing is set for topics whose last call failed.
	failing [directory.Topics]atomic.Bool
	started time.Time
	// wait is the longest that the store may hold a watch that is under way.
	wait atomic.Int64
	// beatAt is when the last heartbeat was sent, sweptAt when hosts that are gone were
	// last looked for.
	beatAt  time.Time
	sweptAt time.Time
	// configAt is when the store certainly had no configuration newer than the one at hand;
	// the zero time if that is not known.
	configAt time.Time
	// readAgainAt is when the configuration is to be read whole again; the zero time if it is
	// not.
	readAgainAt time.Time
}

// storeOK reports whether the store serves this host.
func (w *watching) storeOK() bool {
	for t := range directory.Topics {
		if w.failing[t].Load() || w.lastOK[t].Load() == 0 {
			return false
		}
	}
	return true
}

// serves reports whether the store ever served this watch.
func (w *watching) serves() bool { return w.lastOK[0].Load() > 0 && w.lastOK[1].Load() > 0 }

// storeAge is the age of the older of the topics' last answers.
func (w *watching) storeAge(now time.Time) time.Duration {
	oldest := w.lastOK[0].Load()
	for t := range directory.Topics {
		oldest = min(oldest, w.lastOK[t].Load())
	}
	return now.Sub(w.started) - time.Duration(oldest)
}

// startWatching begins to watch all topics. The lock is held.
func (c *Controller) startWatching(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watching{cancel: cancel, started: time.Now()}
	c.watch = w
	c.watches.Store(true)
	c.count.takeovers.Add(1)
	// Whoever watches has to know all hosts, to be heard by them; the seeds know
	// every host that has started.
	for _, addr := range c.deps.Seeds {
		if addr != c.deps.Self.Addr {
			c.tellHosts(directory.Host{Addr: addr}.ID())
		}
	}
	for t := range directory.Topics {
		go c.watchTopic(ctx, w, t)
	}
}

// stopWatching ends the watch at the end of Run.
func (c *Controller) stopWatching(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != nil {
		c.endWatching(why)
	}
}

// endWatching ends the watch. A try that the store did not serve is not logged: all
// hosts make them for as long as it is out. The lock is held.
func (c *Controller) endWatching(why string) {
	if c.watch.serves() {
		c.deps.Log.Info("no longer watching the store", zap.String("why", why))
	}
	c.watch.cancel()
	c.watch = nil
	c.watches.Store(false)
}

// watchTopic follows one topic until ctx ends.
func (c *Controller) watchTopic(ctx context.Context, w *watching, t directory.Topic) {
	var after directory.Revision
	pause := retryPause
	for ctx.Err() == nil {
		asked := time.Now()
		allowance := c.patience.allowance(asked)
		slow := c.tellIfSlow(w, t)
		ch, err := c.ask(ctx, w, t, after, allowance)
		slow.Stop()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, directory.ErrHistoryGone) {
				c.deps.Log.Warn("history of the store is gone, reading whole", zap.Stringer("topic", t))
				after = 0
				continue
			}
			if errors.Is(err, context.DeadlineExceeded) {
				c.patience.ranOut(time.Now(), allowance)
			}
			c.storeFailed(w, t, asked, err)
			if !ctxtime.Sleep(ctx, pause) {
				return
			}
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = retryPause
		if time.Since(asked) < firstAllowance {
			c.patience.answeredSoon()
		}
		after = ch.Revision
		now := time.Now()
		if later := time.Duration(min(c.rank(), maxRank)) * secondAfter; !ch.Empty() && !ctxtime.Sleep(ctx, later) {
			return
		}
		c.storeAnswered(w, t, ch, certainAt(asked, now, ch))
		if !ch.Empty() && !ctxtime.Sleep(ctx, gather) {
			return
		}
	}
}

// rank is how many other watchers there are whose turn to pass a change on comes before
// this host's.
func (c *Controller) rank() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return watchers.Rank(c.self, watchers.FreshWatchers(time.Now(), c.beats))
}

// ask makes one call: a reading of the whole topic, or a watch from where the
// last one ended.
func (c *Controller) ask(ctx context.Context, w *watching, t directory.Topic, after directory.Revision, allowance time.Duration) (directory.Changes, error) {
	c.count.calls.Add(1)
	if after == 0 {
		return c.deps.Source.Read(ctx, t, allowance)
	}
	wait := watchers.WatchTimeout
	if c.rank() > 0 {
		wait = watchers.SecondaryWatchTimeout
	}
	if left, again := c.readAgain(w, t); again {
		if left <= 0 {
			return c.deps.Source.Read(ctx, t, allowance)
		}
		wait = min(wait, left)
	}
	w.wait.Store(int64(wait))
	return c.deps.Source.Watch(ctx, t, after, wait, allowance)
}

// tellIfSlow has a try to take over tell the others that the store does not serve it, once
// firstAllowance has passed, while it goes on waiting: were they told only when it gives up,
// more of them would try meanwhile.
func (c *Controller) tellIfSlow(w *watching, t directory.Topic) *time.Timer {
	return time.AfterFunc(firstAllowance, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.watch == w && w.lastOK[t].Load() == 0 {
			c.tellRefused(time.Now())
		}
	})
}

// tellRefused tells all hosts that the store does not serve this one. The lock is held.
func (c *Controller) tellRefused(now time.Time) {
	c.refused[c.self] = now
	c.tellAll(kindRefused, refused{})
}

// storeFailed notes a call that the store did not serve. A host that only tried
// to take over gives up; a watcher goes on and says so to the others.
func (c *Controller) storeFailed(w *watching, t directory.Topic, asked time.Time, err error) {
	c.count.failed.Add(1)
	first := !w.failing[t].Swap(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeLost {
		c.deps.Log.Warn("store lost", zap.Stringer("topic", t), zap.Duration("took", time.Since(asked)), zap.Error(err))
	}
	c.storeLost = true
	if c.watch != w {
		return
	}
	if w.lastOK[t].Load() == 0 {
		now := time.Now()
		c.tellRefused(now)
		c.decider.RecordFailure(now, c.view())
		c.endWatching("store fails this host")
		c.wakeUp()
		return
	}
	if first {
		c.beatNow(time.Now())
	}
}

// storeAnswered takes in an answer, which holds for a moment, and passes what is new on to all
// hosts.
func (c *Controller) storeAnswered(w *watching, t directory.Topic, ch directory.Changes, at time.Time) {
	now := time.Now()
	regained := w.failing[t].Swap(false)
	first := w.lastOK[t].Swap(int64(now.Sub(w.started))) == 0
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != w {
		return
	}
	c.storeServed(now)
	if t == directory.TopicTargets {
		c.noteOutage(now)
	}
	if c.storeLost {
		c.deps.Log.Info("store regained", zap.Stringer("topic", t))
	}
	if first && w.serves() {
		c.deps.Log.Info("watching the store", zap.Int("hosts", len(c.hosts)))
	}
	c.noteCopy(now, ch)
	c.keepOrders(now, w, &ch)
	ch.Hold = c.hold(now)
	had := c.state.Config()
	hadTargets := c.state.HasTargets()
	var news directory.Changes
	if !ch.Empty() {
		news = c.merge(now, ch, c.self)
	}
	if t == directory.TopicConfig {
		c.noteConfig(w, ch, at)
	}
	if t == directory.TopicTargets {
		c.state.Advance(ch.Revision)
		if !hadTargets {
			news = ch // the others may know none yet, too
		}
	}
	if !news.Empty() {
		news.Digest, news.DigestAt = c.state.Digest(), c.state.Newest()
		c.pass(shorter(news, had))
	}
	if (first || regained) && w.storeOK() {
		c.beatNow(now)
	}
}

// shorter puts a delta in place of a configuration if it is known what went before.
func shorter(ch directory.Changes, had *routing.Config) directory.Changes {
	if had == nil || ch.Config == nil || ch.Config.Version <= had.Version {
		return ch
	}
	d := routing.Diff(had, ch.Config)
	ch.Config, ch.Delta = nil, &d
	return ch
}

// outageHold is how long targets that went are still used since the store was out. The lock is
// held.
func (c *Controller) outageHold(now time.Time) time.Duration {
	return max(0, returnHold-now.Sub(c.outageEnd))
}

// noteOutage takes in that the store told some host of targets at a moment: if it had told none for
// long, it was out until then, though it may have told of configurations meanwhile. A host whose own
// link is full misses the store for less, and what is removed then is meant. The lock is held.
func (c *Controller) noteOutage(at time.Time) {
	if at.Sub(c.servedAt) >= lapseAfter {
		c.outageEnd = at
	}
	if at.After(c.servedAt) {
		c.servedAt = at
	}
}

// hold returns how long targets that went from the record without a drain are
// still to be used. The lock is held.
//
// The store may just be back, after it dropped the entries of targets that could
// not renew them. If this host only heard that the store fails others, the store may
// as well turn those away and be well: then a removal is meant, and there is no more
// than suspectHold left of the time in which it must be heeded. If the store was out
// for all, those others say so themselves as soon as it serves them again, and the
// time is extended.
func (c *Controller) hold(now time.Time) time.Duration {
	c.storeLost = false
	hold := c.outageHold(now)
	for _, b := range c.beats {
		if !b.StoreOK && now.Sub(b.ReceivedAt) < suspectFor {
			hold = max(hold, suspectHold)
		}
	}
	return hold
}

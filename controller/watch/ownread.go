package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
)

// Reasons of a read of the store by a host that does not watch it.
const (
	whyBehind  = "behind, and others did not send it in time"
	whyUnheard = "no watcher heard"
)

// ownReads is this host's reading of the store while it is not a watcher.
type ownReads struct {
	policy watchers.OwnReads
	// reading is set while a read is under way or about to begin.
	reading bool
	// configAt is the revision up to which the configuration topic was read, 0 if it has to be read
	// in full. configCurrent is set if that read carried the configuration then in force here.
	configAt      directory.Revision
	configCurrent bool
}

// readIfUnheard reads the store if no watcher's information is current, and returns when to call
// it again; zero if some watcher's is. c.mu must be held.
func (c *Controller) readIfUnheard(ctx context.Context, now time.Time, v watchers.View) time.Time {
	v.Watching = c.watch != nil
	due, next := c.own.policy.Unheard(now, v, c.randomDuration)
	if due && !c.own.reading && c.targetsKnown() {
		c.own.reading = true
		go c.readAlone(ctx, whyUnheard)
	}
	return next
}

// randomDuration returns a random duration below d. c.mu must be held.
func (c *Controller) randomDuration(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(max(d, 1))))
}

// readIfBehind reads the store after other hosts did not send what this one lacks, and reports
// whether it did. Dozens of hosts may lack the same change, so each waits for a random moment.
func (c *Controller) readIfBehind(ctx context.Context, still func() bool) bool {
	c.mu.Lock()
	spread := c.randomDuration(watchers.Spread(len(c.hosts)))
	c.mu.Unlock()
	if !ctxtime.Sleep(ctx, spread) {
		return false
	}
	c.mu.Lock()
	due := still() && !c.own.reading && c.own.policy.May(time.Now(), c.view())
	c.own.reading = c.own.reading || due
	c.mu.Unlock()
	return due && c.readAlone(ctx, whyBehind)
}

// readAlone reads what is new in the store, for this host alone, and reports whether the store
// served it.
//
// The configuration is read before the targets, and both are merged at once: neither an evacuation
// nor a new service may overtake the targets that were listed before.
func (c *Controller) readAlone(ctx context.Context, why string) bool {
	asked := time.Now()
	config, configErr := c.fetchAlone(ctx, directory.TopicConfig)
	targets, targetsErr := c.fetchAlone(ctx, directory.TopicTargets)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.reading = false
	news := false
	if configErr == nil || targetsErr == nil {
		news = c.mergeAlone(now, asked, config, targets, targetsErr == nil)
	}
	c.own.policy.Done(now, news)
	c.count.ownReads.Add(1)
	err := errors.CombineErrors(configErr, targetsErr)
	if err != nil {
		c.count.ownReadsFailed.Add(1)
	}
	c.deps.Log.Info("read the store alone", zap.String("why", why), zap.Duration("took", now.Sub(asked)), zap.Bool("news", news),
		zap.Uint64("version", c.version()), zap.Stringer("revision", c.state.Newest()), zap.Error(err))
	return err == nil
}

// fetchAlone returns what changed in a topic since this host last knew all of it, or all of it.
func (c *Controller) fetchAlone(ctx context.Context, t directory.Topic) (directory.Changes, error) {
	c.mu.Lock()
	after := c.own.configAt
	if t == directory.TopicTargets {
		after = c.state.CompleteAt()
	}
	c.mu.Unlock()
	asked := time.Now()
	timeout := c.timeout.next(asked)
	ch, err := directory.Changes{}, errors.Mark(errors.New("never read"), directory.ErrHistoryGone)
	if after > 0 {
		c.count.calls.Add(1)
		ch, err = c.deps.Source.Watch(ctx, t, after, noWait, timeout)
	}
	if errors.Is(err, directory.ErrHistoryGone) {
		c.count.calls.Add(1)
		ch, err = c.deps.Source.Read(ctx, t, timeout)
	}
	if err != nil {
		c.count.failed.Add(1)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.timeout.timedOut(time.Now(), timeout)
	}
	return ch, err
}

// mergeAlone merges what this host read for itself, with all that holds for the answers to a
// watcher, and reports whether anything was new. c.mu must be held.
func (c *Controller) mergeAlone(now, asked time.Time, config, targets directory.Changes, targetsOK bool) bool {
	c.storeServed(asked)
	ch := config
	if targetsOK {
		c.noteOutage(now, c.self)
		ch.Targets, ch.AllTargets = targets.Targets, targets.AllTargets
		ch.Revision = targets.Revision
	}
	c.noteRestore(now, ch)
	deferred := c.deferEvacuationEnds(now, &ch)
	ch.Hold = c.hold(now)
	applied := c.merge(now, ch, c.self)
	if targetsOK {
		c.state.Advance(targets.Revision)
	}
	c.noteOwnConfig(config, asked, deferred)
	return !applied.Empty()
}

// noteOwnConfig records up to where this host read the configuration, and when the configuration
// in force was certainly the newest. As in noteConfig, an answer with another one confirms nothing,
// nor do later ones without changes. c.mu must be held.
func (c *Controller) noteOwnConfig(config directory.Changes, asked time.Time, deferred bool) {
	if config.Revision == 0 {
		return // not read
	}
	c.own.configAt = config.Revision
	switch {
	case config.ConfigUnreadable || config.Config != nil && config.Config.Version != c.version():
		c.own.configCurrent = false
	case config.Config != nil:
		c.own.configCurrent = true
	}
	if c.own.configCurrent {
		c.noteConfirmed(asked)
	}
	if deferred {
		c.own.configAt = 0 // the ends of evacuations that were left out are read again
	}
}

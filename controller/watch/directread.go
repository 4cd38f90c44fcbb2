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
	whyBehind = "behind, no reply from others in time"
	whyStale  = "no current watcher"
)

// directReads is this host's reading of the store while it is not a watcher.
type directReads struct {
	policy watchers.DirectReads
	// reading is set while a read is under way or about to begin.
	reading bool
	// configAt is the revision up to which the configuration topic was read, 0 if it has to be read
	// in full. configCurrent is set if that read carried the configuration then in force here.
	configAt      directory.Revision
	configCurrent bool
}

// readIfStale reads the store if no watcher's information is current, and returns when to call
// it again; zero if some watcher's is. c.mu must be held.
func (c *Controller) readIfStale(ctx context.Context, now time.Time, v watchers.View) time.Time {
	v.Watching = c.watch != nil
	due, next := c.direct.policy.DueIfStale(now, v, c.randomDuration)
	if due && !c.direct.reading && c.targetsKnown() {
		c.direct.reading = true
		go c.readStore(ctx, whyStale)
	}
	return next
}

// randomDuration returns a random duration below d. c.mu must be held.
func (c *Controller) randomDuration(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(max(d, 1))))
}

// readIfBehind reads the store after other hosts did not send what this one lacks, and reports
// whether the store served it within storeHedgeDelay. Dozens of hosts may lack the same change, so each
// begins after a random delay.
func (c *Controller) readIfBehind(ctx context.Context, still func() bool) bool {
	c.mu.Lock()
	spread := c.randomDuration(watchers.ReadSpread(len(c.hosts)))
	c.mu.Unlock()
	if !ctxtime.Sleep(ctx, spread) {
		return false
	}
	c.mu.Lock()
	due := still() && !c.direct.reading && c.direct.policy.May(time.Now(), c.view())
	c.direct.reading = c.direct.reading || due
	c.mu.Unlock()
	return due && c.readWithin(ctx, storeHedgeDelay)
}

// storeHedgeDelay is how long a host that is behind waits for the store before it asks further hosts.
// A healthy store answers within 5 ms; one that does not respond blocks the two calls until their
// timeouts, up to 4 s.
const storeHedgeDelay = hedgeDelay

// readWithin reads the store as a host that is behind, and reports whether the store served it within
// d. A read that takes longer goes on.
func (c *Controller) readWithin(ctx context.Context, d time.Duration) bool {
	served := make(chan bool, 1)
	go func() { served <- c.readStore(ctx, whyBehind) }()
	select {
	case ok := <-served:
		return ok
	case <-time.After(d):
		return false
	}
}

// readStore reads what is new in the store, without forwarding it, and reports whether the store
// served this host.
//
// The configuration is read before the targets, and both are merged at once: neither an evacuation
// nor a new service may overtake the targets that were listed before.
func (c *Controller) readStore(ctx context.Context, why string) bool {
	asked := time.Now()
	config, configErr := c.fetchDirect(ctx, directory.TopicConfig)
	targets, targetsErr := c.fetchDirect(ctx, directory.TopicTargets)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct.reading = false
	news := false
	if configErr == nil || targetsErr == nil {
		news = c.mergeDirect(now, asked, config, targets, targetsErr == nil)
	}
	c.direct.policy.Done(now, news)
	c.count.directReads.Add(1)
	err := errors.CombineErrors(configErr, targetsErr)
	if err != nil {
		c.count.directReadsFailed.Add(1)
	}
	c.deps.Log.Info("read the store directly", zap.String("why", why), zap.Duration("took", now.Sub(asked)), zap.Bool("news", news),
		zap.Uint64("version", c.version()), zap.Stringer("revision", c.state.Newest()), zap.Error(err))
	return err == nil
}

// fetchDirect returns what changed in a topic since this host last knew all of it, or all of it.
func (c *Controller) fetchDirect(ctx context.Context, t directory.Topic) (directory.Changes, error) {
	c.mu.Lock()
	after := c.direct.configAt
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

// mergeDirect merges what this host read for itself, with all that holds for the answers to a
// watcher, and reports whether anything was new. c.mu must be held.
func (c *Controller) mergeDirect(now, asked time.Time, config, targets directory.Changes, targetsOK bool) bool {
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
		c.lostChange = false
	}
	if targetsOK && config.Revision > 0 {
		c.noteCurrent(asked)
	}
	c.noteDirectConfig(config, asked, deferred)
	return !applied.Empty()
}

// noteDirectConfig records up to where this host read the configuration, and when the configuration
// in force was certainly the newest. As in noteConfig, an answer with another one confirms nothing,
// nor do later ones without changes. c.mu must be held.
func (c *Controller) noteDirectConfig(config directory.Changes, asked time.Time, deferred bool) {
	if config.Revision == 0 {
		return // not read
	}
	c.direct.configAt = config.Revision
	switch {
	case config.ConfigUnreadable || config.Config != nil && config.Config.Version != c.version():
		c.direct.configCurrent = false
	case config.Config != nil:
		c.direct.configCurrent = true
	}
	if c.direct.configCurrent {
		c.noteConfirmed(asked)
	}
	if deferred {
		c.direct.configAt = 0 // the ends of evacuations that were left out are read again
	}
}

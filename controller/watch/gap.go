package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/ports"
)

// gap is the time during which this host is known to lack something that a watcher has.
type gap struct {
	// since is when the watcher sent the heartbeat that showed it.
	since time.Time
	// shown is that heartbeat.
	shown heartbeat
	// certain is set if it was certainly sent no earlier than since.
	certain bool
	// requests and failed are the totals of requests for missing state when it began.
	requests, failed int64
}

// noteGap records that a heartbeat, sent at a time, shows something that this host lacks. c.mu
// must be held.
func (c *Controller) noteGap(sent time.Time, certain bool, b heartbeat) {
	if c.gap == nil {
		c.gap = &gap{since: sent, shown: b, certain: certain, requests: c.count.syncs.Value(), failed: c.count.failedSyncs.Value()}
	}
}

// closeGap ends the gap once this host has what the heartbeat showed. Those that the change itself
// ended, which was in transit, are not logged. c.mu must be held.
func (c *Controller) closeGap(now time.Time, from ports.HostID) {
	g := c.gap
	if g == nil || c.behind(g.shown) {
		return
	}
	c.gap = nil
	if g.certain {
		c.noteCurrent(g.shown.currentAt(g.since))
	}
	lasted := now.Sub(g.since)
	c.count.gaps.Add(1)
	if lasted <= catchUpAfter || !c.logLimiter.Allow() {
		return
	}
	c.deps.Log.Info("caught up", zap.Duration("after", lasted), zap.String("from", string(from)),
		zap.Int64("requests", c.count.syncs.Value()-g.requests), zap.Int64("failed", c.count.failedSyncs.Value()-g.failed),
		zap.Uint64("version", c.version()), zap.Stringer("revision", c.state.Newest()))
}

package watch

import (
	"time"

	"github.com/cactusproxy/cactusproxy/policy/watchers"
)

// heartbeatIfDue sends a heartbeat if the last one is old enough. c.mu must be held.
func (c *Controller) heartbeatIfDue(now time.Time) {
	w := c.watch
	if w.lastOK[0].Load() == 0 && w.lastOK[1].Load() == 0 {
		return // an attempt to take over, with no answer from the store yet
	}
	if now.Sub(w.heartbeatAt) >= watchers.HeartbeatInterval-time.Millisecond {
		c.heartbeatNow(now)
	}
}

// heartbeatNow sends a heartbeat to all hosts. c.mu must be held.
func (c *Controller) heartbeatNow(now time.Time) {
	w := c.watch
	w.heartbeatAt = now
	b := heartbeat{
		Host:      c.deps.Self,
		Sent:      c.reading(now),
		StoreOK:   w.storeOK(),
		StoreAge:  w.storeAge(now),
		StoreWait: time.Duration(w.wait.Load()),
		Targets:   w.targetsAnswer(now),
		Newest:    c.state.Newest(),
		Digest:    c.state.Digest(),
		Hosts:     c.hostDigest(),
		Age:       c.replica.messageAge(now),

		Evacuations:   c.state.Evacuations().Digest(),
		EvacuationsAt: c.state.Evacuations().Newest(),
	}
	if cfg := c.state.Config(); cfg != nil {
		b.Version = cfg.Version
	}
	c.broadcast(kindHeartbeat, b)
}

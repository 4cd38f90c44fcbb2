package watch

import (
	"time"

	"github.com/cactusproxy/cactusproxy/policy/watchers"
)

// beatIfDue sends a heartbeat if the last one is old. The lock is held.
func (c *Controller) beatIfDue(now time.Time) {
	w := c.watch
	if w.lastOK[0].Load() == 0 && w.lastOK[1].Load() == 0 {
		return // a try to take over; there is nothing to say yet
	}
	if now.Sub(w.beatAt) >= watchers.HeartbeatInterval-time.Millisecond {
		c.beatNow(now)
	}
}

// beatNow tells all hosts that this one watches. The lock is held.
func (c *Controller) beatNow(now time.Time) {
	w := c.watch
	w.beatAt = now
	b := beat{
		Host:      c.deps.Self,
		StoreOK:   w.storeOK(),
		StoreAge:  w.storeAge(now),
		StoreWait: time.Duration(w.wait.Load()),
		Newest:    c.state.Newest(),
		Digest:    c.state.Digest(),
		Hosts:     c.hostDigest(),

		Evacuations:   c.state.Evacuations().Digest(),
		EvacuationsAt: c.state.Evacuations().Newest(),
	}
	if cfg := c.state.Config(); cfg != nil {
		b.Version = cfg.Version
	}
	c.tellAll(kindBeat, b)
}

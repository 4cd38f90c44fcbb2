package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// publishEvacuations publishes the zone evacuations on the board and logs those that changed.
// c.mu must be held.
func (c *Controller) publishEvacuations(now time.Time, applied []directory.Evacuation, from ports.HostID) {
	if len(applied) == 0 {
		return
	}
	c.logEvacuations(now, applied, from)
	c.evacuationsChanged = true
	zones := make(map[string]blackboard.Evacuation)
	for _, o := range c.state.Evacuations().All() {
		if !o.Ended {
			zones[o.Zone] = blackboard.Evacuation{Since: o.Since, Revision: uint64(o.Revision)}
		}
	}
	c.deps.Board.Evacuations.Store(&blackboard.Evacuations{Zones: zones})
}

// logEvacuations logs evacuations that began or ended. It has to run before they are published,
// since it compares them with those on the board.
func (c *Controller) logEvacuations(now time.Time, applied []directory.Evacuation, from ports.HostID) {
	before := c.deps.Board.Evacuations.Load().Zones
	for _, o := range applied {
		previous, active := before[o.Zone]
		switch {
		case o.Ended && active:
			c.deps.Log.Info("evacuation ended", zap.String("zone", o.Zone), zap.Stringer("revision", o.Revision),
				zap.Duration("lasted", now.Sub(previous.Since)), zap.String("from", string(from)))
		case !o.Ended:
			c.deps.Log.Info("zone evacuated", zap.String("zone", o.Zone), zap.Stringer("revision", o.Revision),
				zap.Bool("renewed", active), zap.String("from", string(from)))
		}
	}
}

// staleLogEvery is how often a host that hears no watcher logs that it keeps the evacuations it
// knows in force.
const staleLogEvery = 5 * time.Second

// logStaleEvacuations logs that evacuations stay in force although no watcher is heard, so that
// an operator who wonders why a zone receives nothing sees how old the information is. c.mu must
// be held.
func (c *Controller) logStaleEvacuations(now time.Time) {
	if c.watch != nil && c.watch.storeOK() || len(watchers.FreshWatchers(now, c.heartbeats)) > 0 {
		c.watcherSeenAt = now
		return
	}
	zones := c.deps.Board.Evacuations.Load().Zones
	if len(zones) == 0 || now.Sub(c.watcherSeenAt) < staleLogEvery || now.Sub(c.staleLoggedAt) < staleLogEvery {
		return
	}
	c.staleLoggedAt = now
	for zone, o := range zones {
		c.deps.Log.Warn("evacuation kept, no word of the store", zap.String("zone", zone),
			zap.Stringer("revision", directory.Revision(o.Revision)), zap.Duration("word_age", now.Sub(c.watcherSeenAt)))
	}
}

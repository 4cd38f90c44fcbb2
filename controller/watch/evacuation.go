package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// publishEvacuations puts the orders to evacuate zones on the board, and tells of those that
// are news. The lock is held.
func (c *Controller) publishEvacuations(now time.Time, news []directory.Evacuation, from ports.HostID) {
	if len(news) == 0 {
		return
	}
	c.logEvacuations(now, news, from)
	c.evacuationsChanged = true
	zones := make(map[string]blackboard.Evacuation)
	for _, o := range c.state.Evacuations().All() {
		if !o.Ended {
			zones[o.Zone] = blackboard.Evacuation{Since: o.Since, Revision: uint64(o.Revision)}
		}
	}
	c.deps.Board.Evacuations.Store(&blackboard.Evacuations{Zones: zones})
}

// logEvacuations tells of orders and their ends: each changes what this host believes. It is
// called before they are on the board.
func (c *Controller) logEvacuations(now time.Time, news []directory.Evacuation, from ports.HostID) {
	before := c.deps.Board.Evacuations.Load().Zones
	for _, o := range news {
		had, active := before[o.Zone]
		switch {
		case o.Ended && active:
			c.deps.Log.Info("evacuation ended", zap.String("zone", o.Zone), zap.Stringer("revision", o.Revision),
				zap.Duration("lasted", now.Sub(had.Since)), zap.String("from", string(from)))
		case !o.Ended:
			c.deps.Log.Info("zone evacuated", zap.String("zone", o.Zone), zap.Stringer("revision", o.Revision),
				zap.Bool("renewed", active), zap.String("from", string(from)))
		}
	}
}

// silenceEvery is how often a host that hears of no watcher tells that it keeps to the orders
// that it knows.
const silenceEvery = 5 * time.Second

// keepEvacuations tells that orders are kept to although no host that watches the store is
// heard: an operator who wonders why a zone gets nothing finds how old the word is. The lock
// is held.
func (c *Controller) keepEvacuations(now time.Time) {
	if c.watch != nil && c.watch.storeOK() || len(watchers.FreshWatchers(now, c.beats)) > 0 {
		c.wordAt = now
		return
	}
	zones := c.deps.Board.Evacuations.Load().Zones
	if len(zones) == 0 || now.Sub(c.wordAt) < silenceEvery || now.Sub(c.keptAt) < silenceEvery {
		return
	}
	c.keptAt = now
	for zone, o := range zones {
		c.deps.Log.Warn("evacuation kept, no word of the store", zap.String("zone", zone),
			zap.Stringer("revision", directory.Revision(o.Revision)), zap.Duration("word_age", now.Sub(c.wordAt)))
	}
}

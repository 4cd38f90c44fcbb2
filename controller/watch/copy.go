package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
)

// noteCopy takes in that the record came back from an older copy. What the platform's writers wrote
// since that copy is written again within returnHold; what hosts wrote is written again by them.
// The lock is held.
func (c *Controller) noteCopy(now time.Time, ch directory.Changes) {
	known := c.state.Newest()
	if known == 0 || ch.Revision.Era() <= known.Era() {
		return
	}
	c.copyAt, c.outageEnd = now, now
	c.announced, c.announceAt = 0, now
	c.count.copies.Add(1)
	c.deps.Log.Warn("store came back from an older copy", zap.Uint64("era", ch.Revision.Era()),
		zap.Stringer("revision", ch.Revision), zap.Stringer("known", known))
}

// keepOrders has a reading that may be of an older copy end no order to evacuate a zone, and the
// configuration be read whole again once the orders are written. The lock is held.
//
// Without it a zone would be filled again until the operator's order is back.
func (c *Controller) keepOrders(now time.Time, w *watching, ch *directory.Changes) {
	if c.copyAt.IsZero() || now.Sub(c.copyAt) >= returnHold || ch.AllEvacuations == 0 {
		return
	}
	ch.AllEvacuations = 0
	w.readAgainAt = c.copyAt.Add(returnHold)
}

// readAgain returns the time until the configuration is to be read whole again, and false if it
// is not. Once that has passed it is due, and forgotten.
func (c *Controller) readAgain(w *watching, t directory.Topic) (left time.Duration, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t != directory.TopicConfig || w.readAgainAt.IsZero() {
		return 0, false
	}
	left = time.Until(w.readAgainAt)
	if left <= 0 {
		w.readAgainAt = time.Time{}
	}
	return left, true
}

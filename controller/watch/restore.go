package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
)

// noteRestore checks whether the store was restored from an older copy. Platform writers repeat
// what they wrote after that copy within returnHold; hosts repeat their own writes themselves.
// c.mu must be held.
func (c *Controller) noteRestore(now time.Time, ch directory.Changes) {
	known := c.state.Newest()
	if known == 0 || ch.Revision.Era() <= known.Era() {
		return
	}
	c.restoredAt, c.outageEnd = now, now
	c.announcedDigest, c.nextAnnounce = 0, now
	c.count.restores.Add(1)
	c.deps.Log.Warn("store came back from an older copy", zap.Uint64("era", ch.Revision.Era()),
		zap.Stringer("revision", ch.Revision), zap.Stringer("known", known))
}

// deferEvacuationEnds keeps a read that may come from an older copy from ending evacuations, and
// reports whether it did: then the configuration has to be read in full again once the evacuations
// have been rewritten. c.mu must be held.
//
// Without it a zone would receive requests again until the operator's evacuation was back.
func (c *Controller) deferEvacuationEnds(now time.Time, ch *directory.Changes) bool {
	if c.restoredAt.IsZero() || now.Sub(c.restoredAt) >= returnHold || ch.AllEvacuations == 0 {
		return false
	}
	ch.AllEvacuations = 0
	return true
}

// rereadIn returns the time until the configuration has to be read in full again, and false if
// no such read is scheduled. A read that is due is returned once.
func (c *Controller) rereadIn(w *storeWatch, t directory.Topic) (left time.Duration, scheduled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t != directory.TopicConfig || w.rereadAt.IsZero() {
		return 0, false
	}
	left = time.Until(w.rereadAt)
	if left <= 0 {
		w.rereadAt = time.Time{}
	}
	return left, true
}

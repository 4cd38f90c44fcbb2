package grant

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// staleAfter is the time without the end of an attempt after which nothing is
// known of a target.
const staleAfter = time.Second

// Stale returns the targets of which calls tell nothing: those that had none
// for a while, and those left out. They are what a probe is worth spending on.
func (b *Coordinator) Stale(now time.Time) []ports.HostID {
	var out []ports.HostID
	for _, t := range b.targets {
		if !t.usable() {
			continue
		}
		silent := t.inFlight() == 0 && now.Sub(t.lastEnd) > staleAfter
		if silent || t.health.Ejected(now) {
			out = append(out, t.id)
		}
	}
	return out
}

// RecordProbe takes the result of a probe. A good answer ends an ejection early; a
// bad one ejects nothing, since health endpoints lag and mislead.
func (b *Coordinator) RecordProbe(now time.Time, id ports.HostID, ok bool, load int) {
	t := b.byID[id]
	if t == nil {
		return
	}
	t.lastEnd = now
	t.health.RecordProbe(now, ok)
	if load >= 0 {
		t.foreign = max(load-t.inFlight(), 0)
		t.foreignAt = b.clock.At(now)
	}
	b.dispatch(now)
}

// TakeEjected returns the targets that were ejected since the last call.
func (b *Coordinator) TakeEjected() []ports.HostID {
	out := b.newlyOut
	b.newlyOut = nil
	return out
}

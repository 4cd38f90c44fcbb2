package grant

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// staleAfter is the time without a completed attempt after which the state of a target is
// unknown.
const staleAfter = time.Second

// Stale returns the targets that calls give no information on: those without an attempt for a
// while, and ejected ones. Probes are best spent on them.
func (b *Coordinator) Stale(now time.Time) []ports.HostID {
	var out []ports.HostID
	for _, t := range b.targets {
		if !t.usable() {
			continue
		}
		idle := t.inFlight() == 0 && now.Sub(t.lastEnd) > staleAfter
		if idle || t.health.Ejected(now) {
			out = append(out, t.id)
		}
	}
	return out
}

// RecordProbe records the result of a probe. A successful one ends an ejection early; a failed
// one ejects nothing, since health endpoints lag and mislead.
func (b *Coordinator) RecordProbe(now time.Time, id ports.HostID, ok bool, load int) {
	t := b.byID[id]
	if t == nil {
		return
	}
	t.lastEnd = now
	t.health.RecordProbe(now, ok)
	if load >= 0 {
		t.otherLoad = max(load-t.inFlight(), 0)
		t.otherLoadAt = b.clock.At(now)
	}
	b.dispatch(now)
}

// TakeEjected returns the targets that were ejected since the last call.
func (b *Coordinator) TakeEjected() []ports.HostID {
	out := b.newlyEjected
	b.newlyEjected = nil
	return out
}

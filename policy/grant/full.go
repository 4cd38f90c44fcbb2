package grant

import (
	"cmp"
	"slices"
	"time"
)

// applyFull makes the state of a host match its full frame.
func (b *Coordinator) applyFull(now time.Time, h *host, f Frame) {
	h.zone = b.zone(f.Zone)
	for i := range f.InFlight {
		b.adopt(now, h, f.InFlight[i])
	}
	b.reconcile(now, h, f)
}

// adopt records an attempt that this coordinator did not grant: the host chose the target itself,
// or another coordinator granted it.
func (b *Coordinator) adopt(now time.Time, h *host, o OpenAttempt) {
	if c := b.attempts[attemptKey{h.id, o.ID}]; c != nil {
		if c.target.id == o.Target {
			c.confirmed = true
			return
		}
		b.release(now, c) // the host chose a target itself before the grant arrived
	}
	if h.queue.remove(o.ID) {
		b.queued--
	}
	t := b.byID[o.Target]
	if t == nil {
		return
	}
	b.addAttempt(h, o.ID, t, now.Add(-o.Age), o.Exclusive).confirmed = true
}

// reconcile drops the attempts and requests that a full frame does not list. Without it, a lost
// release would occupy its slot forever: the target would look busy while it is idle.
func (b *Coordinator) reconcile(now time.Time, h *host, f Frame) {
	open := make(map[AttemptID]bool, len(f.InFlight)+len(f.Requests))
	for _, o := range f.InFlight {
		open[o.ID] = true
	}
	for _, a := range f.Requests {
		open[a.ID] = true
	}
	for _, c := range b.attemptsOf(h) {
		if !open[c.id] && (c.confirmed || now.Sub(c.granted) > maxTransit) {
			b.release(now, c)
		}
	}
	b.queued -= h.queue.retain(func(id AttemptID) bool { return open[id] })
}

// attemptsOf returns the attempts of one host, oldest first.
func (b *Coordinator) attemptsOf(h *host) []*attempt {
	var out []*attempt
	for _, c := range b.attempts {
		if c.host == h {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y *attempt) int { return cmp.Compare(x.id, y.id) })
	return out
}

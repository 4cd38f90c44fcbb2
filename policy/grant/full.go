package grant

import (
	"cmp"
	"slices"
	"time"
)

// takeFull brings the state of one host in line with what it lists.
func (b *Coordinator) takeFull(now time.Time, h *host, f Frame) {
	h.zone = b.zone(f.Zone)
	for i := range f.InFlight {
		b.adopt(now, h, f.InFlight[i])
	}
	b.reconcile(now, h, f)
}

// adopt enters an attempt that this coordinator did not grant: the host chose by
// itself, or another coordinator granted it.
func (b *Coordinator) adopt(now time.Time, h *host, o OpenAttempt) {
	if c := b.calls[callKey{h.id, o.ID}]; c != nil {
		if c.target.id == o.Target {
			c.confirmed = true
			return
		}
		b.release(now, c) // the host chose for itself before the grant came
	}
	if h.queue.remove(o.ID) {
		b.queued--
	}
	t := b.byID[o.Target]
	if t == nil {
		return
	}
	b.hold(h, o.ID, t, now.Add(-o.Age), o.Exclusive).confirmed = true
}

// reconcile drops what a full frame does not list. Without it a release that
// was lost on the way would leave its slot taken for good: the target would
// look busy and stay idle.
func (b *Coordinator) reconcile(now time.Time, h *host, f Frame) {
	open := make(map[AttemptID]bool, len(f.InFlight)+len(f.Requests))
	for _, o := range f.InFlight {
		open[o.ID] = true
	}
	for _, a := range f.Requests {
		open[a.ID] = true
	}
	for _, c := range b.held(h) {
		if !open[c.id] && (c.confirmed || now.Sub(c.granted) > transit) {
			b.release(now, c)
		}
	}
	b.queued -= h.queue.keep(func(id AttemptID) bool { return open[id] })
}

// held returns the attempts of one host, oldest first.
func (b *Coordinator) held(h *host) []*call {
	var out []*call
	for _, c := range b.calls {
		if c.host == h {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y *call) int { return cmp.Compare(x.id, y.id) })
	return out
}

package suspicion

import "time"

// heldBuckets is the number of parts into which the quarantined requests are divided to compare those of
// two hosts.
const heldBuckets = 32

// releaseMargin is how long before the end of a quarantine it is no longer handed to other hosts. They would
// begin it anew after others have released the request.
const releaseMargin = 5 * time.Second

// Held returns a sum for each part of the requests that are held, or nil if there are none. Equal sets have
// equal sums.
func (b *Tracker) Held(now time.Time) (sums []uint64) {
	groups := b.evidentGroups()
	for d := range b.entries {
		if !b.held(now, d, groups) {
			continue
		}
		if sums == nil {
			sums = make([]uint64, heldBuckets)
		}
		sums[d%heldBuckets] ^= d
	}
	return sums
}

// held reports whether other hosts are told of a request although nothing is new: they would let it, or
// requests of its group, crash targets again.
func (b *Tracker) held(now time.Time, d Digest, groups map[Digest]bool) bool {
	state, e := b.State(now, d), b.entries[d]
	switch state {
	case Clean:
		return false
	case Quarantined:
		return true
	default:
		return e.isGroup || groups[e.group] && !e.answered
	}
}

// HeldBeyond returns records of the requests that are held and that a host with the given sums may lack: those of
// the parts that differ, beginning with the given one, until there are n or more. Next is the part to
// begin with the next time, or 0 if there are no more.
func (b *Tracker) HeldBeyond(now time.Time, sums []uint64, from, n int) (out []Record, next int) {
	own := b.Held(now)
	if own == nil || from < 0 {
		return nil, 0
	}
	if len(sums) != heldBuckets {
		sums = make([]uint64, heldBuckets)
	}
	parts := make([][]Digest, heldBuckets)
	groups := b.evidentGroups()
	for d := range b.entries {
		if i := d % heldBuckets; own[i] != sums[i] && b.held(now, d, groups) {
			parts[i] = append(parts[i], d)
		}
	}
	for i := from; i < heldBuckets; i++ {
		if len(out) >= n {
			return out, i
		}
		for _, d := range parts[i] {
			if r, ok := b.Record(now, d); ok && r.SinceSent < b.limits.ReleaseAfterIdle-releaseMargin {
				r.Good = b.entries[d].goodRequests()
				out = append(out, r)
			}
		}
	}
	return out, 0
}

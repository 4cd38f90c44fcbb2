package budget

import "time"

// costEntry is the cost of a probe, or another amount, that counts from a point in
// time.
type costEntry struct {
	at   time.Time
	cost time.Duration
	id   uint64
}

// costWindow is a log of costs that is summed over sliding windows.
type costWindow struct {
	entries []costEntry
	nextID  uint64
	// retention is the longest window that was ever summed. Entries are kept that
	// long, because a change of the budget can shorten the window on this host
	// before the next holder of the share has received that change.
	retention time.Duration
}

// add records a cost as of now, and returns its ID for settle.
func (w *costWindow) add(now time.Time, cost time.Duration) uint64 {
	w.nextID++
	w.entries = append(w.entries, costEntry{at: now, cost: cost, id: w.nextID})
	return w.nextID
}

// settle replaces a reserved cost by the actual one.
func (w *costWindow) settle(id uint64, cost time.Duration) {
	for i := range w.entries {
		if w.entries[i].id == id {
			w.entries[i].cost = cost
		}
	}
}

// total returns the sum of the costs in the window that ends now.
func (w *costWindow) total(now time.Time, length time.Duration) time.Duration {
	w.retention = max(w.retention, length)
	kept := w.entries[:0]
	var sum time.Duration
	for _, e := range w.entries {
		age := now.Sub(e.at)
		if age < w.retention {
			kept = append(kept, e)
		}
		if age < length {
			sum += e.cost
		}
	}
	w.entries = kept
	return sum
}

package budget

import "time"

// entry is one probe, or another amount to be counted, from a moment on.
type entry struct {
	at   time.Time
	cost time.Duration
	id   uint64
}

// window adds up what was spent in the last while.
type window struct {
	entries []entry
	nextID  uint64
	// keep is the longest window that was asked about: a change of the budget
	// shortens the window, and who takes over the share may not have heard of it.
	keep time.Duration
}

// add counts a cost from now on, and returns its number for settle.
func (w *window) add(now time.Time, cost time.Duration) uint64 {
	w.nextID++
	w.entries = append(w.entries, entry{at: now, cost: cost, id: w.nextID})
	return w.nextID
}

// settle replaces a reserved cost by the real one.
func (w *window) settle(id uint64, cost time.Duration) {
	for i := range w.entries {
		if w.entries[i].id == id {
			w.entries[i].cost = cost
		}
	}
}

// spent returns what was spent in the window that ends now.
func (w *window) spent(now time.Time, length time.Duration) time.Duration {
	w.keep = max(w.keep, length)
	kept := w.entries[:0]
	var sum time.Duration
	for _, e := range w.entries {
		age := now.Sub(e.at)
		if age < w.keep {
			kept = append(kept, e)
		}
		if age < length {
			sum += e.cost
		}
	}
	w.entries = kept
	return sum
}

package backpressure

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// leavingTTL is how long a leaving run is remembered after its last notice: far longer than any
// target takes to stop.
const leavingTTL = 10 * time.Minute

// leavingRuns are the runs of targets that reported that they are leaving. A run never takes
// that back, while the platform's list may lag, or lose the entry and list the target as ready
// again.
type leavingRuns struct {
	mu        sync.Mutex
	noticed   map[ports.RunID]time.Time
	lastSweep time.Time
}

func newLeavingRuns() *leavingRuns { return &leavingRuns{noticed: make(map[ports.RunID]time.Time)} }

// add records a notice of a run, and reports whether it is the first.
func (l *leavingRuns) add(run ports.RunID) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	_, known := l.noticed[run]
	l.noticed[run] = now
	return !known
}

// any reports whether any run is known to be leaving.
func (l *leavingRuns) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.noticed) > 0
}

// has reports whether a run is known to be leaving.
func (l *leavingRuns) has(run ports.RunID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.noticed[run]
	return known
}

// sweep drops expired runs. The caller holds the lock.
func (l *leavingRuns) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < leavingTTL {
		return
	}
	l.lastSweep = now
	for run, at := range l.noticed {
		if now.Sub(at) > leavingTTL {
			delete(l.noticed, run)
		}
	}
}

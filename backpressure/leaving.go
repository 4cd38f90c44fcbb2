package backpressure

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// leavingFor is how long a target that said it leaves is remembered after it last said so: far
// longer than any takes to go.
const leavingFor = 10 * time.Minute

// leavers are the runs of targets that said that they leave. A run never takes that back, while
// the platform's list may lag behind, or lose its entry and show it as ready again.
type leavers struct {
	mu    sync.Mutex
	said  map[ports.RunID]time.Time
	swept time.Time
}

func newLeavers() *leavers { return &leavers{said: make(map[ports.RunID]time.Time)} }

// add notes that a run said so, and reports whether that is news.
func (l *leavers) add(run ports.RunID) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	_, known := l.said[run]
	l.said[run] = now
	return !known
}

// any reports whether any run said so.
func (l *leavers) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.said) > 0
}

// has reports whether a run said so.
func (l *leavers) has(run ports.RunID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.said[run]
	return known
}

// sweep drops runs that are long gone. The lock is held.
func (l *leavers) sweep(now time.Time) {
	if now.Sub(l.swept) < leavingFor {
		return
	}
	l.swept = now
	for run, at := range l.said {
		if now.Sub(at) > leavingFor {
			delete(l.said, run)
		}
	}
}

package watch

import (
	"sync"
	"time"
)

const (
	// baseTimeout is the time allowed for an answer from the store beyond the requested wait; a
	// healthy store answers within 5 ms.
	baseTimeout = 300 * time.Millisecond
	// maxTimeout bounds the timeout for a slow store: it doubles with each answer that does not
	// arrive, so that a slow store is not mistaken for one that is down.
	maxTimeout = 2 * time.Second
	// raisedTimeoutFor is how long a raised timeout stays in effect: longer than a host waits
	// between two attempts, which is at most 5 s.
	raisedTimeoutFor = 3 * maxTimeout
)

// storeTimeout adapts how long this host waits for the store. It is safe for concurrent use.
//
// It outlives a single watch: otherwise a host that takes over while the store is slow would
// start from the base timeout each time and never wait long enough.
type storeTimeout struct {
	mu     sync.Mutex
	raised time.Duration
	until  time.Time
}

// next returns the timeout for the next call.
func (p *storeTimeout) next(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		return baseTimeout
	}
	return max(p.raised, baseTimeout)
}

// timedOut records that a call exceeded its timeout, which doubles it.
func (p *storeTimeout) timedOut(now time.Time, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raised = min(2*timeout, maxTimeout)
	p.until = now.Add(raisedTimeoutFor)
}

// reset returns to the base timeout after a prompt answer.
func (p *storeTimeout) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
}

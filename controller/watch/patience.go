package watch

import (
	"sync"
	"time"
)

const (
	// firstAllowance is the time allowed for an answer of the store beyond the
	// wait that was asked for; a good answer takes 5 ms.
	firstAllowance = 300 * time.Millisecond
	// maxAllowance is for a store that is slow: the allowance doubles with each
	// answer that does not come, so that a slow store is not taken for one that
	// is out.
	maxAllowance = 2 * time.Second
	// allowanceFor is how long an allowance holds that was raised: longer than a host waits
	// between two tries, 5 s at most.
	allowanceFor = 3 * maxAllowance
)

// storePatience is how long this host waits for the store. It outlasts a watch.
//
// It is kept from one turn to the next: a host that takes over while the store is slow would else
// begin anew each time, and never wait for long enough. It is safe for concurrent use.
type storePatience struct {
	mu     sync.Mutex
	raised time.Duration
	until  time.Time
}

// allowance returns the time allowed for the next answer.
func (p *storePatience) allowance(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		return firstAllowance
	}
	return max(p.raised, firstAllowance)
}

// ranOut notes that an answer did not come within an allowance.
func (p *storePatience) ranOut(now time.Time, allowance time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raised = min(2*allowance, maxAllowance)
	p.until = now.Add(allowanceFor)
}

// answeredSoon notes that the store answered this host as on a good day.
func (p *storePatience) answeredSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
}

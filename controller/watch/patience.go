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
	// allowanceFor is how long an allowance holds that was raised: three turns to take over,
	// each of which lasts as long as it.
	allowanceFor = 3 * maxAllowance
)

// storePatience is how long this host waits for the store. It outlasts a watch, and hosts tell
// it each other with each try that failed.
//
// Failure: the hosts that watch are gone, and answers take 0.5 s. Symptom: a host that took over
// gave up after 0.3 s, and each that came next began with 0.3 s again: no change was known by
// any host for as long as the store was slow. With the patience kept and told, the third try
// waits for 1.2 s, whoever makes it. It is safe for concurrent use.
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
func (p *storePatience) ranOut(now time.Time, allowance time.Duration) { p.hear(now, 2*allowance) }

// hear takes in how long another host will wait next time.
func (p *storePatience) hear(now time.Time, allowance time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until) && allowance < p.raised {
		return
	}
	p.raised = min(allowance, maxAllowance)
	p.until = now.Add(allowanceFor)
}

// answeredSoon notes that the store answered this host as on a good day.
func (p *storePatience) answeredSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
}

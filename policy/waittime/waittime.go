// Package waittime estimates how long a caller has been waiting when its request arrives. A
// caller that retries after a refusal or the loss of a host sends only its remaining time. Under
// overload, an answer in time to a first attempt is worth more than late answers to both a first
// attempt and a retry.
package waittime

import (
	"sync"
	"time"
)

const (
	// tracked is the number of remaining times that are counted. A value sent by more than one in
	// tracked+1 requests stays among them (the heavy hitters algorithm of Misra and Gries).
	tracked = 4
	// minCount is the count from which a value is considered the timeout of first attempts; the
	// remaining times of retries are arbitrary.
	minCount = 8
	// maxCount limits the count of a value, and thus how long a value that is no longer sent is
	// remembered.
	maxCount = 64
)

// Estimator learns the remaining times that callers usually send with first attempts. The zero
// value is ready for use. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	values [tracked]time.Duration
	counts [tracked]int
}

// Estimate records the remaining time of a caller and returns how long it has been waiting: 0 if
// many callers send the same value, otherwise the difference to the next longer value that many
// callers send.
//
// The wait of a retry is deducted from its objective, so that it may use a free slot but does not
// queue ahead of callers that can still be answered in time.
func (p *Estimator) Estimate(remaining time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count(remaining) {
		return 0
	}
	waited := time.Duration(0)
	for i, timeout := range p.values {
		if p.counts[i] < minCount || timeout < remaining {
			continue
		}
		if waited == 0 || timeout-remaining < waited {
			waited = timeout - remaining
		}
	}
	return waited
}

// count counts a value and reports whether it is a common one.
func (p *Estimator) count(remaining time.Duration) bool {
	free := -1
	for i := range p.values {
		if p.counts[i] > 0 && p.values[i] == remaining {
			p.counts[i] = min(p.counts[i]+1, maxCount)
			return p.counts[i] >= minCount
		}
		if p.counts[i] == 0 {
			free = i
		}
	}
	if free >= 0 {
		p.values[free], p.counts[free] = remaining, 1
		return false
	}
	for i := range p.counts {
		p.counts[i]--
	}
	return false
}

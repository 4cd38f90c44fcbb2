// Package waited tells how long a caller has been waiting already when its request
// arrives. A caller that comes again, after a refusal or a host that was gone, says only
// how much of its time is left. Under more calls than the targets can run, an answer in
// time for one that has just asked is worth more than a late one for each of both.
package waittime

import (
	"sync"
	"time"
)

const (
	// kept is how many values of the time left are kept. Each that more than one in kept
	// plus one requests say stays among them (Misra and Gries' heavy hitters).
	kept = 4
	// usualFrom is the count from which a value is usual for callers that have just
	// asked: those that come again say any value.
	usualFrom = 8
	// maxCount bounds the memory of a value that is not said any more.
	maxCount = 64
)

// Estimator learns with how much time left callers usually begin. The zero value knows
// nothing. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	left  [kept]time.Duration
	count [kept]int
}

// Estimate takes in how much time a caller has left and returns how long it has been
// waiting: 0 if many callers say the same, otherwise what it lacks to the next longer
// time that many callers say.
//
// One that came again is thereby reckoned with less time until its objective, so that it
// gets a slot that is free but does not queue before callers that can still be answered in
// time.
func (p *Estimator) Estimate(left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.learn(left) {
		return 0
	}
	waited := time.Duration(0)
	for i, usual := range p.left {
		if p.count[i] < usualFrom || usual < left {
			continue
		}
		if waited == 0 || usual-left < waited {
			waited = usual - left
		}
	}
	return waited
}

// learn counts a value and reports whether it is a usual one.
func (p *Estimator) learn(left time.Duration) bool {
	free := -1
	for i := range p.left {
		if p.count[i] > 0 && p.left[i] == left {
			p.count[i] = min(p.count[i]+1, maxCount)
			return p.count[i] >= usualFrom
		}
		if p.count[i] == 0 {
			free = i
		}
	}
	if free >= 0 {
		p.left[free], p.count[free] = left, 1
		return false
	}
	for i := range p.count {
		p.count[i]--
	}
	return false
}

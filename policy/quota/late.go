package quota

import (
	"slices"
	"time"
)

const (
	// keptArrivals is how many requests of a route are remembered, learnEvery how many come
	// until what is usual is reckoned anew.
	keptArrivals = 64
	learnEvery   = 8
	// freshShare is the least share of requests that are taken to have come for the first
	// time. A few callers that wait for longer than others are no measure for these.
	freshShare = 0.1
)

// Arrivals tells requests of one route that came back from those that come for the first time,
// by how much time their callers have left. The zero value knows nothing. It is not safe for
// concurrent use.
type Arrivals struct {
	left  [keptArrivals]time.Duration
	count int
	// usual is the time that callers have left who come for the first time; 0 if not known.
	usual time.Duration
}

// Late takes in a request and reports whether it came back so late that an answer can hardly be
// in time: at least half of its objective has passed.
func (a *Arrivals) Late(r Request) bool {
	if r.Objective <= 0 || r.Remaining < 0 {
		return false
	}
	a.left[a.count%keptArrivals] = r.Remaining
	a.count++
	if a.count%learnEvery == 0 {
		a.learn()
	}
	return r.Remaining < a.usual-r.Objective/2
}

func (a *Arrivals) learn() {
	n := min(a.count, keptArrivals)
	sorted := a.left // a copy
	slices.Sort(sorted[:n])
	a.usual = sorted[n-1-int(freshShare*float64(n))]
}

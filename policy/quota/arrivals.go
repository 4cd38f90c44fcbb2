package quota

import (
	"slices"
	"time"
)

const (
	// keptArrivals is the number of requests of a route that are remembered, and updateEvery the
	// number between two updates of the typical remaining time.
	keptArrivals = 64
	updateEvery  = 8
	// freshShare is the least fraction of requests assumed to be first attempts. Callers with
	// longer deadlines than the rest are taken into account only if they are more than that.
	freshShare = 0.1
)

// Arrivals tells retried requests of one route from first attempts, by the time that their
// callers have left. The zero value is ready for use. It is not safe for concurrent use.
type Arrivals struct {
	remaining [keptArrivals]time.Duration
	count     int
	// initial is the remaining time of callers that make a first attempt; 0 if not known.
	initial time.Duration
}

// Late records a request and reports whether it is a retry so late that a response can hardly
// meet its objective: at least half of the objective has passed.
func (a *Arrivals) Late(r Request) bool {
	if r.Objective <= 0 || r.Remaining < 0 {
		return false
	}
	a.remaining[a.count%keptArrivals] = r.Remaining
	a.count++
	if a.count%updateEvery == 0 {
		a.update()
	}
	return r.Remaining < a.initial-r.Objective/2
}

func (a *Arrivals) update() {
	n := min(a.count, keptArrivals)
	sorted := a.remaining // a copy
	slices.Sort(sorted[:n])
	a.initial = sorted[n-1-int(freshShare*float64(n))]
}

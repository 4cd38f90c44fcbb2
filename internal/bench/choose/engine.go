// Package choose benchmarks target selection strategies with a discrete-event
// simulation in virtual time.
//
// The coordinated strategies run the production code of a daemon,
// policy/session and policy/grant, driven by the simulation's clock and events.
// They are compared with the usual baselines (random, round robin, power of two
// choices) and with an ideal single queue for all targets. For a given seed,
// every strategy sees the same arrivals, service times and targets.
//
// Measure runs every case and fault scenario and returns a Report. The grids of
// cases and scenarios are defined by Deployments and Scenarios.
package choose

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// engine is a discrete-event scheduler. Events at the same time run in the order
// in which they were scheduled.
type engine struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// after schedules f to run once d has elapsed.
func (e *engine) after(d time.Duration, f func()) {
	e.seq++
	heap.Push(&e.events, event{at: e.now + max(d, 0), seq: e.seq, run: f})
}

// runUntil runs all events up to and including the time end and advances the
// clock to it.
func (e *engine) runUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// epoch is the start of virtual time, for code that expects a time.Time.
var epoch = time.Unix(1_000_000, 0)

// clock returns the current virtual time as a time.Time.
func (e *engine) clock() time.Time { return epoch.Add(e.now) }

// lognormal draws a service time from a log-normal distribution with the given
// mean; sigma is the standard deviation of its logarithm.
func lognormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return time.Duration(math.Exp(mu + sigma*rng.NormFloat64()))
}

// exponential draws from an exponential distribution with the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

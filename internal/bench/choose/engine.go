// Package choose measures ways of choosing targets in virtual time. It drives
// the same code that a daemon runs, policy/session and policy/grant, with its
// own clock and events, beside the usual baselines and the ideal of one queue
// for all targets, on the same arrivals and the same targets.
package choose

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// engine runs events in the order of their times.
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

// after runs f once d has passed.
func (e *engine) after(d time.Duration, f func()) {
	e.seq++
	heap.Push(&e.events, event{at: e.now + max(d, 0), seq: e.seq, run: f})
}

// runUntil runs all events up to the time end.
func (e *engine) runUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// epoch is the start of virtual time for code that takes a time.Time.
var epoch = time.Unix(1_000_000, 0)

// clock returns the present as a time.Time.
func (e *engine) clock() time.Time { return epoch.Add(e.now) }

// lognormal draws a service time with this mean.
func lognormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return time.Duration(math.Exp(mu + sigma*rng.NormFloat64()))
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

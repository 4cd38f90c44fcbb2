package choose

import (
	"slices"
	"time"
)

// Result is what one way did in one case with one seed.
type Result struct {
	P50, P99, P999 time.Duration
	Calls          int
	Answered       int
	Late           int
	Failed         int
	Refused        map[string]int
	// Unsettled is the calls that were neither answered nor refused.
	Unsettled int
	// Goodput is the answers in time by the capacity of the slots, were none
	// of them ever slow.
	Goodput float64
	// Local is the share of calls that hosts placed without a coordinator.
	Local float64
	// Messages between hosts for each call.
	Messages float64
}

func (w *world) result() Result {
	slices.Sort(w.latencies)
	r := Result{
		P50:      quantile(w.latencies, 0.5),
		P99:      quantile(w.latencies, 0.99),
		P999:     quantile(w.latencies, 0.999),
		Calls:    w.arrived,
		Answered: w.answered,
		Late:     w.late,
		Failed:   w.failed,
		Refused:  make(map[string]int),
	}
	r.Unsettled = w.arrived - w.answered - w.late - w.failed
	for reason, n := range w.refused {
		r.Refused[string(reason)] = n
		r.Unsettled -= n
	}
	window := float64(w.end-w.warm) / float64(w.c.Mean) * float64(w.c.Targets*w.c.Slots)
	r.Goodput = float64(w.inWindow) / window
	if c, ok := w.way.(*coordinated); ok {
		r.Local = float64(c.local) / float64(w.c.Calls)
		r.Messages = float64(c.frames) / float64(w.c.Calls)
	}
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Names of the ways.
const (
	WayRandom      = "random"
	WayRoundRobin  = "round robin"
	WayTwoChoices  = "two choices"
	WayFallback    = "no coordinator"
	WayCoordinated = "coordinator"
	WayIdeal       = "one queue"
)

// Ways returns the names of all ways, the poorest first.
func Ways() []string {
	return []string{WayRandom, WayRoundRobin, WayTwoChoices, WayFallback, WayCoordinated, WayIdeal}
}

func newWay(name string) way {
	switch name {
	case WayRandom:
		return &baseline{choose: chooseRandom}
	case WayRoundRobin:
		return &baseline{choose: chooseRoundRobin}
	case WayTwoChoices:
		return &baseline{choose: chooseTwo}
	case WayIdeal:
		return &ideal{}
	case WayFallback:
		return &coordinated{coordinator: func(int) int { return -1 }}
	default:
		return &coordinated{coordinator: func(int) int { return 0 }}
	}
}

// Run plays one case with one way and one seed.
func Run(c Case, name string, seed uint64) Result {
	w := newWorld(c, seed, newWay(name))
	w.run()
	return w.result()
}

// Deployments returns services of today's sizes, without a load.
func Deployments() []Case {
	base := Case{
		Hosts: 15, Zones: 3, Sigma: 0.8,
		StragglerFactor: 8, StragglerFor: 100 * time.Millisecond, StragglerShare: 0.03,
		Near: 100 * time.Microsecond, Far: 500 * time.Microsecond,
		Timeout: time.Second, MaxQueue: 32,
	}
	with := func(name string, targets, slots int, mean time.Duration) Case {
		c := base
		c.Name, c.Targets, c.Slots, c.Mean = name, targets, slots, mean
		return c
	}
	return []Case{
		with("auction catalogue 5 ms", 15, 2, 5*time.Millisecond),
		with("auction catalogue 2 ms", 15, 2, 2*time.Millisecond),
		with("auction bids 20 ms", 6, 2, 20*time.Millisecond),
		with("repair status 5 ms", 18, 4, 5*time.Millisecond),
		with("repair bookings 20 ms", 6, 4, 20*time.Millisecond),
		wholeCall(with("auction catalogue 5 ms, whole calls slow", 15, 2, 5*time.Millisecond)),
		wholeCall(with("repair status 5 ms, whole calls slow", 18, 4, 5*time.Millisecond)),
	}
}

func wholeCall(c Case) Case {
	c.WholeCall = true
	return c
}

package choose

import (
	"slices"
	"time"
)

// Result holds the outcome of one run: one case, strategy and seed.
type Result struct {
	P50, P99, P999 time.Duration
	Calls          int
	Answered       int
	Late           int
	Failed         int
	Refused        map[string]int
	// Unsettled counts the calls that were neither answered nor refused.
	Unsettled int
	// Goodput is the number of responses within the deadline, as a fraction of
	// what the slots could serve if no target ever slowed down.
	Goodput float64
	// Local is the fraction of calls that hosts placed without a coordinator.
	Local float64
	// Messages is the number of messages between hosts per call.
	Messages float64
}

func (w *simulation) result() Result {
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
	window := float64(w.end-w.countFrom) / float64(w.c.Mean) * float64(w.c.Targets*w.c.Slots)
	r.Goodput = float64(w.inWindow) / window
	if c, ok := w.strategy.(*coordinated); ok {
		r.Local = float64(c.placedLocally) / float64(w.c.Calls)
		r.Messages = float64(c.messages) / float64(w.c.Calls)
	}
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Names of the strategies.
const (
	StrategyRandom      = "random"
	StrategyRoundRobin  = "round robin"
	StrategyTwoChoices  = "two choices"
	StrategyFallback    = "no coordinator"
	StrategyCoordinated = "coordinator"
	StrategyIdeal       = "one queue"
)

// Strategies returns the names of all strategies, ordered from worst to best expected
// latency.
func Strategies() []string {
	return []string{
		StrategyRandom, StrategyRoundRobin, StrategyTwoChoices,
		StrategyFallback, StrategyCoordinated, StrategyIdeal,
	}
}

func newStrategy(name string) strategy {
	switch name {
	case StrategyRandom:
		return &baseline{choose: chooseRandom}
	case StrategyRoundRobin:
		return &baseline{choose: chooseRoundRobin}
	case StrategyTwoChoices:
		return &baseline{choose: chooseTwo}
	case StrategyIdeal:
		return &ideal{}
	case StrategyFallback:
		return &coordinated{coordinator: func(int) int { return -1 }}
	default:
		return &coordinated{coordinator: func(int) int { return 0 }}
	}
}

// Run simulates a case with the named strategy and a seed.
func Run(c Case, name string, seed uint64) Result {
	w := newSimulation(c, seed, newStrategy(name))
	w.run()
	return w.result()
}

// Deployments returns services of realistic sizes, with Load and Calls unset.
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

package choose

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Options control the size of a benchmark.
type Options struct {
	Calls int       // per run
	Seeds int       // runs per case and strategy, each with its own seed
	Loads []float64 // as fractions of the total slot capacity
}

// FullOptions returns the options used for the published results.
func FullOptions() Options {
	return Options{Calls: 60_000, Seeds: 5, Loads: []float64{0.3, 0.5, 0.7, 0.85, 0.95, 2.0}}
}

// Report holds the results of a benchmark. Durations are in milliseconds. Unless
// a field says otherwise, each value is the median over the seeds.
type Report struct {
	Options   Options
	Cases     []CaseReport
	Scenarios []ScenarioReport
}

// CaseReport holds the results of every strategy for one service at one load.
type CaseReport struct {
	Name string
	Load float64
	Ways []StrategyReport
}

// StrategyReport holds the results of one strategy for one case.
type StrategyReport struct {
	Way                 string
	P50ms, P99ms        float64
	P999ms              float64
	P99WorstMs          float64 // worst seed
	P99TimesIdeal       float64
	P99TimesTwoChoices  float64
	RefusedShare        float64
	LateShare           float64
	Goodput             float64 // responses within the deadline, as a fraction of the capacity
	GoodputTimesIdeal   float64
	MessagesPerCall     float64
	PlacedWithoutCoord  float64 // fraction of the calls
	UnsettledCallsTotal int
}

// ScenarioReport holds the results of one fault scenario.
type ScenarioReport struct {
	Name               string
	Load               float64
	P50ms, P99ms       float64
	P99TimesIdeal      float64
	P99TimesIdealWorst float64
	Calls              int
	Failed, Refused    int // worst seed
	UnsettledTotal     int
	Reached            int     // attempts received by faulty targets, worst seed
	LastReachedMs      float64 // time of the last such attempt after the fault, worst seed
}

// Measure runs every case with every strategy, and every scenario, in parallel.
func Measure(o Options) Report {
	r := Report{Options: o}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for _, d := range Deployments() {
		for _, load := range o.Loads {
			r.Cases = append(r.Cases, CaseReport{
				Name: d.Name, Load: load, Ways: make([]StrategyReport, len(Strategies())),
			})
		}
	}
	scenarios := Scenarios()
	r.Scenarios = make([]ScenarioReport, len(scenarios))
	for i := range r.Cases {
		c := Deployments()[i/len(o.Loads)]
		c.Load = r.Cases[i].Load
		c.Calls = o.Calls
		for j, name := range Strategies() {
			g.Go(func() error {
				r.Cases[i].Ways[j] = measureStrategy(c, name, o.Seeds)
				return nil
			})
		}
	}
	for i, s := range scenarios {
		g.Go(func() error {
			c := Deployments()[0]
			c.Calls = o.Calls
			r.Scenarios[i] = measureScenario(c, s, o.Seeds)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	for i := range r.Cases {
		r.Cases[i].compare()
	}
	return r
}

func measureStrategy(c Case, name string, seeds int) StrategyReport {
	results := make([]Result, seeds)
	for s := range seeds {
		results[s] = Run(c, name, uint64(s+1))
	}
	med := func(f func(Result) float64) float64 { return median(results, f) }
	share := func(f func(Result) int) float64 {
		return med(func(r Result) float64 { return float64(f(r)) / float64(max(r.Calls, 1)) })
	}
	w := StrategyReport{
		Way:                name,
		P50ms:              med(func(r Result) float64 { return ms(r.P50) }),
		P99ms:              med(func(r Result) float64 { return ms(r.P99) }),
		P999ms:             med(func(r Result) float64 { return ms(r.P999) }),
		RefusedShare:       share(Result.refusals),
		LateShare:          share(func(r Result) int { return r.Late }),
		Goodput:            med(func(r Result) float64 { return r.Goodput }),
		MessagesPerCall:    med(func(r Result) float64 { return r.Messages }),
		PlacedWithoutCoord: med(func(r Result) float64 { return r.Local }),
	}
	for _, r := range results {
		w.P99WorstMs = max(w.P99WorstMs, ms(r.P99))
		w.UnsettledCallsTotal += r.Unsettled
	}
	return w
}

func (r Result) refusals() int {
	n := 0
	for _, k := range r.Refused {
		n += k
	}
	return n
}

func measureScenario(c Case, s Scenario, seeds int) ScenarioReport {
	results := make([]ScenarioResult, seeds)
	rep := ScenarioReport{Name: s.Name, Load: s.Load}
	for i := range seeds {
		r := RunScenario(c, s, uint64(i+1))
		results[i] = r
		rep.P99TimesIdealWorst = max(rep.P99TimesIdealWorst, ratio(ms(r.P99), ms(r.IdealP99)))
		rep.UnsettledTotal += r.Unsettled
		rep.Failed = max(rep.Failed, r.Failed)
		rep.Refused = max(rep.Refused, r.refusals())
		rep.Reached = max(rep.Reached, r.Reached)
		rep.LastReachedMs = max(rep.LastReachedMs, ms(r.LastReached))
	}
	rep.P50ms = median(results, func(r ScenarioResult) float64 { return ms(r.P50) })
	rep.P99ms = median(results, func(r ScenarioResult) float64 { return ms(r.P99) })
	rep.P99TimesIdeal = median(results, func(r ScenarioResult) float64 { return ratio(ms(r.P99), ms(r.IdealP99)) })
	rep.Calls = int(median(results, func(r ScenarioResult) float64 { return float64(r.Calls) }))
	return rep
}

// compare computes the ratios to the ideal and to two choices.
func (c *CaseReport) compare() {
	two := c.Strategy(StrategyTwoChoices)
	best := c.Strategy(StrategyIdeal)
	for i := range c.Ways {
		w := &c.Ways[i]
		w.P99TimesIdeal = ratio(w.P99ms, best.P99ms)
		w.P99TimesTwoChoices = ratio(w.P99ms, two.P99ms)
		w.GoodputTimesIdeal = ratio(w.Goodput, best.Goodput)
	}
}

// Strategy returns the results of the named strategy, or a zero report if there are
// none.
func (c *CaseReport) Strategy(name string) StrategyReport {
	for _, w := range c.Ways {
		if w.Way == name {
			return w
		}
	}
	return StrategyReport{}
}

// Case returns the results for a service at a load, or an empty report if there
// are none.
func (r *Report) Case(name string, load float64) *CaseReport {
	for i := range r.Cases {
		if r.Cases[i].Name == name && r.Cases[i].Load == load {
			return &r.Cases[i]
		}
	}
	return &CaseReport{}
}

// Scenario returns the results of the named scenario, or a zero report if there
// are none.
func (r *Report) Scenario(name string) ScenarioReport {
	for _, s := range r.Scenarios {
		if s.Name == name {
			return s
		}
	}
	return ScenarioReport{}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func median[T any](list []T, f func(T) float64) float64 {
	values := make([]float64, len(list))
	for i, x := range list {
		values[i] = f(x)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Write writes the report as JSON to path and one SVG plot per service to the
// same directory. It creates the directory if needed.
func (r *Report) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create report directory")
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	return r.writePlots(dir)
}

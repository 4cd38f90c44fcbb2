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

// Options say how much to measure.
type Options struct {
	Calls int       // of one run
	Seeds int       // runs of each case and way
	Loads []float64 // as shares of the slots
}

// FullOptions are those of the published figures.
func FullOptions() Options {
	return Options{Calls: 60_000, Seeds: 5, Loads: []float64{0.3, 0.5, 0.7, 0.85, 0.95, 2.0}}
}

// Report is the figures of one run of the bench. Durations are milliseconds;
// each is the median over the seeds.
type Report struct {
	Options   Options
	Cases     []CaseReport
	Scenarios []ScenarioReport
}

// CaseReport is one service at one load, by all ways.
type CaseReport struct {
	Name string
	Load float64
	Ways []WayReport
}

// WayReport is one way in one case.
type WayReport struct {
	Way                 string
	P50ms, P99ms        float64
	P999ms              float64
	P99WorstMs          float64 // of the seeds
	P99TimesIdeal       float64
	P99TimesTwoChoices  float64
	RefusedShare        float64
	LateShare           float64
	Goodput             float64 // answers in time, as a share of the capacity
	GoodputTimesIdeal   float64
	MessagesPerCall     float64
	PlacedWithoutCoord  float64 // share of the calls
	UnsettledCallsTotal int
}

// ScenarioReport is one fault.
type ScenarioReport struct {
	Name               string
	Load               float64
	P50ms, P99ms       float64
	P99TimesIdeal      float64
	P99TimesIdealWorst float64
	Calls              int
	Failed, Refused    int // of the worst seed
	UnsettledTotal     int
	Reached            int     // attempts that faulty targets got, worst seed
	LastReachedMs      float64 // after the fault, worst seed
}

// Measure runs every case, way and scenario.
func Measure(o Options) Report {
	r := Report{Options: o}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for _, d := range Deployments() {
		for _, load := range o.Loads {
			r.Cases = append(r.Cases, CaseReport{Name: d.Name, Load: load, Ways: make([]WayReport, len(Ways()))})
		}
	}
	scenarios := Scenarios()
	r.Scenarios = make([]ScenarioReport, len(scenarios))
	for i := range r.Cases {
		c := Deployments()[i/len(o.Loads)]
		c.Load = r.Cases[i].Load
		c.Calls = o.Calls
		for j, way := range Ways() {
			g.Go(func() error {
				r.Cases[i].Ways[j] = measureWay(c, way, o.Seeds)
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

func measureWay(c Case, way string, seeds int) WayReport {
	results := make([]Result, seeds)
	for s := range seeds {
		results[s] = Run(c, way, uint64(s+1))
	}
	med := func(f func(Result) float64) float64 { return median(results, f) }
	share := func(f func(Result) int) float64 {
		return med(func(r Result) float64 { return float64(f(r)) / float64(max(r.Calls, 1)) })
	}
	w := WayReport{
		Way:                way,
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

// compare fills the ratios of one case.
func (c *CaseReport) compare() {
	two := c.Way(WayTwoChoices)
	best := c.Way(WayIdeal)
	for i := range c.Ways {
		w := &c.Ways[i]
		w.P99TimesIdeal = ratio(w.P99ms, best.P99ms)
		w.P99TimesTwoChoices = ratio(w.P99ms, two.P99ms)
		w.GoodputTimesIdeal = ratio(w.Goodput, best.Goodput)
	}
}

// Way returns the figures of one way.
func (c *CaseReport) Way(name string) WayReport {
	for _, w := range c.Ways {
		if w.Way == name {
			return w
		}
	}
	return WayReport{}
}

// Case returns the figures of one service at one load.
func (r *Report) Case(name string, load float64) *CaseReport {
	for i := range r.Cases {
		if r.Cases[i].Name == name && r.Cases[i].Load == load {
			return &r.Cases[i]
		}
	}
	return &CaseReport{}
}

// Scenario returns the figures of one fault.
func (r *Report) Scenario(name string) ScenarioReport {
	for _, s := range r.Scenarios {
		if s.Name == name {
			return s
		}
	}
	return ScenarioReport{}
}

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

// Write writes the report as JSON to path, and beside it one SVG plot of each
// service.
func (r *Report) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory of report")
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	return r.writePlots(dir)
}

package choose

import (
	"flag"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

var reportPath = flag.String("report", "",
	"write the full report as JSON to this file, and plots to its directory")

// TestReport runs the full benchmark with -report, and otherwise a short one that
// checks that the report and the plots can be written.
func TestReport(t *testing.T) {
	t.Parallel()
	o := FullOptions()
	path := *reportPath
	if path == "" {
		o = Options{Calls: 1000, Seeds: 1, Loads: []float64{0.5, 0.7}}
		path = filepath.Join(t.TempDir(), "choose.json")
	}
	r := Measure(o)
	assert.NilError(t, r.Write(path))
	for _, c := range r.Cases {
		for _, w := range c.Ways {
			assert.Check(t, w.UnsettledCallsTotal == 0 || c.Load > 1, "%s %s", c.Name, w.Way)
		}
	}
}

// Checks the p99 goals relative to the ideal queue with few calls and fixed seeds,
// so that every test run detects a policy change that regresses them.
func TestCoordinatorIsNearTheIdeal(t *testing.T) {
	t.Parallel()
	for _, d := range Deployments() {
		d.Calls, d.Load = 25_000, 0.7
		ideal := Run(d, StrategyIdeal, 1)
		with := Run(d, StrategyCoordinated, 1)
		without := Run(d, StrategyFallback, 1)
		limit := 1.25
		if d.Mean < shortService {
			limit = 1.5
		}
		near := ratio(ms(with.P99), ms(ideal.P99))
		assert.Check(t, near <= limit, "%s: p99 %.2f times the ideal", d.Name, near)
		near = ratio(ms(without.P99), ms(ideal.P99))
		assert.Check(t, near <= 1.6, "%s without coordinator: p99 %.2f times the ideal", d.Name, near)
	}
}

// shortService is the mean service time, in nanoseconds, below which the round
// trip to the coordinator is a large part of the latency.
const shortService = 5_000_000

func TestOverloadKeepsTheSlotsBusyWithAnswersInTime(t *testing.T) {
	t.Parallel()
	for _, d := range Deployments() {
		d.Calls, d.Load = 25_000, 2
		ideal := Run(d, StrategyIdeal, 1)
		for _, strategy := range []string{StrategyCoordinated, StrategyFallback} {
			r := Run(d, strategy, 1)
			share := ratio(r.Goodput, ideal.Goodput)
			assert.Check(t, share >= 0.95, "%s, %s: goodput %.3f of the ideal", d.Name, strategy, share)
		}
	}
}

func TestFaultsLoseNoCall(t *testing.T) {
	t.Parallel()
	c := Deployments()[0]
	c.Calls = 30_000
	for _, s := range Scenarios() {
		r := RunScenario(c, s, 1)
		assert.Equal(t, r.Unsettled, 0, s.Name)
		switch s.Name {
		case ScenarioCoordinatorCutOff, ScenarioCoordinatorCrash,
			ScenarioCoordinatorPause, ScenarioTwoCoordinators:
			near := ratio(ms(r.P99), ms(r.IdealP99))
			assert.Check(t, near <= 1.6, "%s: p99 %.2f times the ideal", s.Name, near)
			assert.Equal(t, r.Failed, 0, s.Name)
		case ScenarioFailFast, ScenarioFailFastFallback, ScenarioFailFastThree:
			faulty := 1
			if s.Name == ScenarioFailFastThree {
				faulty = 3
			}
			assert.Check(t, r.Reached-20*faulty < r.Calls/100, "%s: %d of %d calls", s.Name, r.Reached, r.Calls)
		case ScenarioShed, ScenarioShedFallback:
			assert.Check(t, r.Reached < r.Calls/100, "%s: %d of %d calls", s.Name, r.Reached, r.Calls)
		case ScenarioCombined:
			near := ratio(ms(r.P99), ms(r.IdealP99))
			assert.Check(t, near <= 2, "%s: p99 %.2f times the ideal", s.Name, near)
			assert.Check(t, r.LastReached.Seconds() < 2, "%s: %s", s.Name, r.LastReached)
		case ScenarioDrain:
			assert.Equal(t, r.Failed, 0, s.Name)
			assert.Check(t, r.LastReached.Seconds() < 2, "%s: %s", s.Name, r.LastReached)
		}
	}
}

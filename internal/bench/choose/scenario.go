package choose

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// Scenario is a fault injected halfway through a run of a coordinated strategy.
type Scenario struct {
	Name string
	// Load is the offered load as a fraction of the slot capacity.
	Load float64
	// Fallback runs the scenario without a coordinator.
	Fallback bool
	// prepare schedules the fault before the run starts. Only calls that arrive
	// in the second half of the run are counted.
	prepare func(w *simulation, c *coordinated)
}

// Names of the fault scenarios.
const (
	ScenarioCoordinatorCutOff = "coordinator cut off for good"
	ScenarioCoordinatorCrash  = "coordinator crashes, another after 1 s"
	ScenarioCoordinatorPause  = "coordinator paused 300 ms every 1 s"
	ScenarioTwoCoordinators   = "two coordinators, half the hosts each"
	ScenarioFailFast          = "a target fails fast"
	ScenarioFailFastFallback  = "a target fails fast, no coordinator"
	ScenarioFailFastThree     = "three targets fail fast"
	ScenarioShed              = "a target sheds everything"
	ScenarioShedFallback      = "a target sheds everything, no coordinator"
	ScenarioDrain             = "a target drains, list 5 s late"
	ScenarioColdStartRamp     = "a cold target, ramp declared"
	ScenarioColdStartNoRamp   = "a cold target, no ramp"
	ScenarioHostOverload      = "one host floods, the others' calls"
	ScenarioCombined          = "pause, dispute, drain, failing target and cold start at once"
)

// Scenarios returns all fault scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: ScenarioCoordinatorCutOff, Load: 0.7, prepare: coordinatorCutOff},
		{Name: ScenarioCoordinatorCrash, Load: 0.7, prepare: coordinatorCrash},
		{Name: ScenarioCoordinatorPause, Load: 0.7, prepare: coordinatorPause},
		{Name: ScenarioTwoCoordinators, Load: 0.7, prepare: twoCoordinators},
		{Name: ScenarioFailFast, Load: 0.7, prepare: failFast(1)},
		{Name: ScenarioFailFastFallback, Load: 0.7, Fallback: true, prepare: failFast(1)},
		{Name: ScenarioFailFastThree, Load: 0.5, prepare: failFast(3)},
		{Name: ScenarioShed, Load: 0.7, prepare: shed},
		{Name: ScenarioShedFallback, Load: 0.7, Fallback: true, prepare: shed},
		{Name: ScenarioDrain, Load: 0.7, prepare: drain},
		{Name: ScenarioColdStartRamp, Load: 0.7, prepare: coldStartOnly(warmUpTime)},
		{Name: ScenarioColdStartNoRamp, Load: 0.7, prepare: coldStartOnly(0)},
		{Name: ScenarioHostOverload, Load: 1.3, prepare: hostOverload},
		{Name: ScenarioCombined, Load: 0.6, prepare: combined},
	}
}

// ScenarioResult is a Result extended with the traffic that reached faulty targets.
type ScenarioResult struct {
	Result
	// IdealP99 is the p99 of the single ideal queue with the same calls and no
	// fault.
	IdealP99 time.Duration
	// Reached counts the attempts that arrived at faulty targets after the fault.
	// LastReached is the time from the fault to the last attempt at a draining
	// target.
	Reached     int
	LastReached time.Duration
}

// RunScenario simulates a scenario with a seed.
func RunScenario(c Case, s Scenario, seed uint64) ScenarioResult {
	c.Load = s.Load
	ideal := newSimulation(c, seed, &ideal{})
	ideal.countFrom = ideal.end / 2
	ideal.run()

	coord := newStrategy(StrategyCoordinated).(*coordinated)
	if s.Fallback {
		coord = newStrategy(StrategyFallback).(*coordinated)
	}
	w := newSimulation(c, seed, coord)
	w.countFrom = w.end / 2
	s.prepare(w, coord)
	w.run()
	r := ScenarioResult{Result: w.result(), IdealP99: ideal.result().P99}
	for _, t := range w.targets {
		r.Reached += t.receivedAfterFault
		if t.drainFrom > 0 {
			r.LastReached = max(r.LastReached, t.lastReceived-t.drainFrom)
		}
	}
	return r
}

func (w *simulation) atHalf(f func()) { w.after(w.end/2, f) }

func coordinatorCutOff(w *simulation, c *coordinated) {
	w.atHalf(func() { c.hosts[0].partitioned = true })
}

// coordinatorCrash keeps callers off host 0, because calls on a crashing host are
// lost whichever strategy chooses their targets.
func coordinatorCrash(w *simulation, c *coordinated) {
	w.pickHost = func() int { return 1 + w.rng.IntN(w.c.Hosts-1) }
	w.atHalf(func() {
		c.hosts[0].dead = true
		w.after(time.Second, func() {
			c.coordinator = func(int) int { return 1 }
			c.setCoordinators()
		})
	})
}

func coordinatorPause(w *simulation, c *coordinated) {
	w.pickHost = func() int { return 1 + w.rng.IntN(w.c.Hosts-1) }
	var pause func()
	pause = func() {
		c.hosts[0].pausedUntil = w.now + 300*time.Millisecond
		if w.now < w.end {
			w.after(time.Second, pause)
		}
	}
	w.atHalf(pause)
}

func twoCoordinators(w *simulation, c *coordinated) {
	w.atHalf(func() {
		c.coordinator = func(host int) int { return host % 2 }
		c.setCoordinators()
	})
}

func failFast(n int) func(*simulation, *coordinated) {
	return func(w *simulation, _ *coordinated) {
		for i := range n {
			w.targets[i].failFrom = w.end / 2
		}
	}
}

func shed(w *simulation, _ *coordinated) { w.targets[0].shedFrom = w.end / 2 }

func drain(w *simulation, c *coordinated) {
	w.targets[0].drainFrom = w.end / 2
	w.after(w.end/2+5*time.Second, func() {
		c.listed = slices.Clone(c.listed)
		c.listed[0].Leaving = true
		c.setTargets()
	})
}

// coldStart adds a cold target halfway through the run and declares the given
// ramp on all hosts.
func coldStart(ramp time.Duration) func(*simulation, *coordinated) {
	return func(w *simulation, c *coordinated) {
		for _, h := range c.hosts {
			h.service.ColdStart = ramp
			h.session.Configure(h.service)
			h.coordinator.Configure(h.service)
		}
		w.atHalf(func() {
			t := w.addTarget(len(w.targets))
			t.started = w.now
			c.listed = append(c.listed, blackboard.Target{ID: t.id, Zone: zoneName(t.zone), FirstSeen: w.clock()})
			c.setTargets()
		})
	}
}

// coldStartOnly is coldStart with only the calls during the warm-up counted.
func coldStartOnly(ramp time.Duration) func(*simulation, *coordinated) {
	return func(w *simulation, c *coordinated) {
		w.countUntil = w.end/2 + warmUpTime
		coldStart(ramp)(w, c)
	}
}

// combined combines faults: one target drains, another fails fast and a third
// starts cold while the hosts disagree on the coordinator and the first
// coordinator is paused repeatedly.
func combined(w *simulation, c *coordinated) {
	coordinatorPause(w, c)
	twoCoordinators(w, c)
	drain(w, c)
	w.targets[1].failFrom = w.end / 2
	coldStart(warmUpTime)(w, c)
}

// hostOverload sends more than half of all calls through host 1 and counts only the
// calls of the other hosts.
func hostOverload(w *simulation, _ *coordinated) {
	w.pickHost = func() int {
		if w.rng.IntN(2) == 0 {
			return 1
		}
		return w.rng.IntN(w.c.Hosts)
	}
	w.countOnly = func(c *simCall) bool { return c.host != 1 }
}

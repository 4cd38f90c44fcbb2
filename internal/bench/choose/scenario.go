package choose

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// Scenario is a fault in the middle of a run of a coordinated way.
type Scenario struct {
	Name string
	// Load is the share of the slots that the calls need.
	Load float64
	// Fallback runs it without any coordinator.
	Fallback bool
	// prepare sets it up before the run. Calls are counted from the middle on.
	prepare func(w *world, c *coordinated)
}

// Faults of the coordinator.
const (
	ScenarioGone     = "coordinator cut off for good"
	ScenarioCrash    = "coordinator crashes, another after 1 s"
	ScenarioPause    = "coordinator paused 300 ms every 1 s"
	ScenarioDispute  = "two coordinators, half the hosts each"
	ScenarioFailFast = "a target fails fast"
	ScenarioFailSolo = "a target fails fast, no coordinator"
	ScenarioThree    = "three targets fail fast"
	ScenarioShed     = "a target sheds everything"
	ScenarioShedSolo = "a target sheds everything, no coordinator"
	ScenarioDrain    = "a target drains, list 5 s late"
	ScenarioColdRamp = "a cold target, ramp declared"
	ScenarioColdNone = "a cold target, no ramp"
	ScenarioFlood    = "one host floods, the others' calls"
	ScenarioAll      = "pause, dispute, drain, failing target and cold start at once"
)

// Scenarios returns all of them.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: ScenarioGone, Load: 0.7, prepare: coordinatorGone},
		{Name: ScenarioCrash, Load: 0.7, prepare: coordinatorCrash},
		{Name: ScenarioPause, Load: 0.7, prepare: coordinatorPause},
		{Name: ScenarioDispute, Load: 0.7, prepare: coordinatorDispute},
		{Name: ScenarioFailFast, Load: 0.7, prepare: failFast(1)},
		{Name: ScenarioFailSolo, Load: 0.7, Fallback: true, prepare: failFast(1)},
		{Name: ScenarioThree, Load: 0.5, prepare: failFast(3)},
		{Name: ScenarioShed, Load: 0.7, prepare: shed},
		{Name: ScenarioShedSolo, Load: 0.7, Fallback: true, prepare: shed},
		{Name: ScenarioDrain, Load: 0.7, prepare: drain},
		{Name: ScenarioColdRamp, Load: 0.7, prepare: coldStartOnly(coldFor)},
		{Name: ScenarioColdNone, Load: 0.7, prepare: coldStartOnly(0)},
		{Name: ScenarioFlood, Load: 1.3, prepare: flood},
		{Name: ScenarioAll, Load: 0.6, prepare: allAtOnce},
	}
}

// ScenarioResult is a result with what the faulty targets saw.
type ScenarioResult struct {
	Result
	// IdealP99 is that of one queue with the same calls and no fault.
	IdealP99 time.Duration
	// Reached is the attempts that faulty targets got after their fault, and
	// LastReached how long after it the last one came.
	Reached     int
	LastReached time.Duration
}

// RunScenario plays a scenario with one seed.
func RunScenario(c Case, s Scenario, seed uint64) ScenarioResult {
	c.Load = s.Load
	ideal := newWorld(c, seed, &ideal{})
	ideal.warm = ideal.end / 2
	ideal.run()

	way := newWay(WayCoordinated).(*coordinated)
	if s.Fallback {
		way = newWay(WayFallback).(*coordinated)
	}
	w := newWorld(c, seed, way)
	w.warm = w.end / 2
	s.prepare(w, way)
	w.run()
	r := ScenarioResult{Result: w.result(), IdealP99: ideal.result().P99}
	for _, t := range w.targets {
		r.Reached += t.gotAfter
		if t.leaves > 0 {
			r.LastReached = max(r.LastReached, t.lastGot-t.leaves)
		}
	}
	return r
}

func (w *world) atHalf(f func()) { w.after(w.end/2, f) }

func coordinatorGone(w *world, c *coordinated) {
	w.atHalf(func() { c.hosts[0].cut = true })
}

// coordinatorCrash takes host 0 out of the callers' way before, since calls on
// a host that crashes are lost with it whoever chooses their targets.
func coordinatorCrash(w *world, c *coordinated) {
	w.pickHost = func() int { return 1 + w.rng.IntN(w.c.Hosts-1) }
	w.atHalf(func() {
		c.hosts[0].dead = true
		w.after(time.Second, func() {
			c.coordinator = func(int) int { return 1 }
			c.setCoordinators()
		})
	})
}

func coordinatorPause(w *world, c *coordinated) {
	w.pickHost = func() int { return 1 + w.rng.IntN(w.c.Hosts-1) }
	var pause func()
	pause = func() {
		c.hosts[0].paused = w.now + 300*time.Millisecond
		if w.now < w.end {
			w.after(time.Second, pause)
		}
	}
	w.atHalf(pause)
}

func coordinatorDispute(w *world, c *coordinated) {
	w.atHalf(func() {
		c.coordinator = func(host int) int { return host % 2 }
		c.setCoordinators()
	})
}

func failFast(n int) func(*world, *coordinated) {
	return func(w *world, _ *coordinated) {
		for i := range n {
			w.targets[i].failFrom = w.end / 2
		}
	}
}

func shed(w *world, _ *coordinated) { w.targets[0].shedFrom = w.end / 2 }

func drain(w *world, c *coordinated) {
	w.targets[0].leaves = w.end / 2
	w.after(w.end/2+5*time.Second, func() {
		c.listed = slices.Clone(c.listed)
		c.listed[0].Leaving = true
		c.setTargets()
	})
}

// coldStart adds a target that is slow at first.
func coldStart(ramp time.Duration) func(*world, *coordinated) {
	return func(w *world, c *coordinated) {
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

// coldStartOnly counts the calls of the cold start.
func coldStartOnly(ramp time.Duration) func(*world, *coordinated) {
	return func(w *world, c *coordinated) {
		w.until = w.end/2 + coldFor
		coldStart(ramp)(w, c)
	}
}

// allAtOnce lets a target drain, another fail fast and a third start cold while
// half of the hosts take another host for the coordinator and the first one is
// paused again and again.
func allAtOnce(w *world, c *coordinated) {
	coordinatorPause(w, c)
	coordinatorDispute(w, c)
	drain(w, c)
	w.targets[1].failFrom = w.end / 2
	coldStart(coldFor)(w, c)
}

// flood sends half of all calls through host 1, and counts those of the others.
func flood(w *world, _ *coordinated) {
	w.pickHost = func() int {
		if w.rng.IntN(2) == 0 {
			return 1
		}
		return w.rng.IntN(w.c.Hosts)
	}
	w.only = func(c *simCall) bool { return c.host != 1 }
}

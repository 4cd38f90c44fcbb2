package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// listZones publishes one target per entry of zones; those in the evacuated zones are marked as
// such.
func (l *testPlacer) listZones(zones []string, evacuated ...string) {
	var list []blackboard.Target
	for i, zone := range zones {
		t := blackboard.Target{ID: ports.HostID(rune('a' + i)), Zone: zone, Slots: 2}
		for _, z := range evacuated {
			t.Evacuated = t.Evacuated || z == zone
		}
		list = append(list, t)
	}
	l.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{testKey: list}})
}

// reportIdle records a load report of an idle target for each target.
func (l *testPlacer) reportIdle() {
	s := l.p.service(testKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refresh(now)
	for _, t := range s.list {
		s.recordLoad(now, t, targetapi.Load{Slots: 2, Slowdown: 1})
	}
}

// picks makes n choices and counts them by the zone of the target, or by the reason of the
// refusal.
func (l *testPlacer) picks(t *testing.T, n int, req pick.Request) map[string]int {
	req.Service = testKey
	zones := make(map[string]int)
	l.reportIdle()
	for range n {
		g, refusal := l.p.Pick(t.Context(), req)
		if g == nil {
			zones[string(refusal.Reason)]++
			continue
		}
		zones[g.Target().Zone]++
		g.Release(pick.Report{Class: pick.Canceled})
	}
	return zones
}

// One zone is evacuated, then a second, and both evacuations end. No choice, whether for a
// first attempt, a retry or a hedged attempt, may fall on an evacuated zone.
func TestNoChoiceFallsOnAnEvacuatedZone(t *testing.T) {
	l := newTestPlacer(t)
	zones := []string{"x", "x", "y", "y", "z"}
	for _, req := range []pick.Request{{}, {Avoid: []ports.HostID{"e"}}, {Hedge: true}} {
		l.listZones(zones, "x")
		got := l.picks(t, 50, req)
		assert.Equal(t, got["x"], 0)
		assert.Equal(t, got["y"]+got["z"], 50, "%v", got)
		l.listZones(zones, "x", "z")
		assert.Equal(t, l.picks(t, 50, req)["y"], 50)
		l.listZones(zones)
		got = l.picks(t, 200, req)
		assert.Check(t, got["x"] > 0, "%v", got)
	}
	assert.Check(t, l.p.count.evacuated.Value() > 0)
}

// If every zone of a service is evacuated, its callers are refused at once, with a reason of
// its own and a Retry-After.
func TestAllZonesEvacuatedRefusesAtOnce(t *testing.T) {
	l := newTestPlacer(t)
	l.listZones([]string{"x", "y"}, "x", "y")
	begin := time.Now()
	g, refusal := l.p.Pick(t.Context(), pick.Request{Service: testKey})
	assert.Check(t, g == nil)
	assert.Equal(t, refusal.Reason, outcome.ReasonEvacuated)
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	assert.Check(t, refusal.RetryAfter > 0)
	assert.Check(t, time.Since(begin) < 100*time.Millisecond)
}

// Targets in evacuated zones are not probed and do not count towards the probe budget.
func TestProbeQuotaExcludesEvacuatedTargets(t *testing.T) {
	l := newTestPlacer(t)
	limit := func() float64 {
		s := NewProbeQuota(l.board, 10)
		s.Update()
		return float64(s.limiter.Limit())
	}
	l.listZones([]string{"x", "y"})
	all := limit()
	l.listZones([]string{"x", "y"}, "x")
	assert.Equal(t, limit(), all/2)
}

// A call restricted to regions goes nowhere else, even if no other target is left, and not to a
// zone of unknown region.
func TestCallsStayInTheirRegions(t *testing.T) {
	l := newTestPlacer(t)
	l.p.deps.Regions = Regions{"x": "north", "y": "south"}
	l.listZones([]string{"x", "y", "unknown"})
	for _, hedge := range []bool{false, true} {
		north := pick.Request{Regions: []string{"north"}, Hedge: hedge}
		assert.Equal(t, l.picks(t, 50, north)["x"], 50)
	}
	assert.Equal(t, l.picks(t, 5, pick.Request{Regions: []string{"west"}})[string(outcome.ReasonNoTarget)], 5)
	l.listZones([]string{"x", "y", "unknown"}, "x")
	assert.Equal(t, l.picks(t, 5, pick.Request{Regions: []string{"north"}})[string(outcome.ReasonNoTarget)], 5)
	assert.Equal(t, l.picks(t, 5, pick.Request{Regions: []string{"north", "south"}})["y"], 5)
}

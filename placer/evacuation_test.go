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

// listZones has the platform list targets in zones, of which some are evacuated.
func (l *restartLab) listZones(zones []string, evacuated ...string) {
	var list []blackboard.Target
	for i, zone := range zones {
		t := blackboard.Target{ID: ports.HostID(rune('a' + i)), Zone: zone, Slots: 2}
		for _, z := range evacuated {
			t.Evacuated = t.Evacuated || z == zone
		}
		list = append(list, t)
	}
	l.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{restartKey: list}})
}

// tellIdle has all targets say that they are idle.
func (l *restartLab) tellIdle() {
	s := l.p.service(restartKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refresh(now)
	for _, t := range s.list {
		s.told(now, t, targetapi.Load{Slots: 2, Slowdown: 1})
	}
}

// picks returns how often each zone was chosen in a number of choices.
func (l *restartLab) picks(t *testing.T, n int, req pick.Request) map[string]int {
	req.Service = restartKey
	zones := make(map[string]int)
	l.tellIdle()
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

// A zone is evacuated, then another, and both are taken back: no choice, whether the first of a
// call, a retry or a hedge, falls on an evacuated zone.
func TestNoChoiceFallsOnAnEvacuatedZone(t *testing.T) {
	l := newRestartLab(t)
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

// Every zone of a service is evacuated, or the only one. Its callers are refused at once, with
// a reason of its own and a time to come back.
func TestAllZonesEvacuatedRefusesAtOnce(t *testing.T) {
	l := newRestartLab(t)
	l.listZones([]string{"x", "y"}, "x", "y")
	begin := time.Now()
	g, refusal := l.p.Pick(t.Context(), pick.Request{Service: restartKey})
	assert.Check(t, g == nil)
	assert.Equal(t, refusal.Reason, outcome.ReasonEvacuated)
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	assert.Check(t, refusal.RetryAfter > 0)
	assert.Check(t, time.Since(begin) < 100*time.Millisecond)
}

// Targets of evacuated zones are not probed, and what all hosts may ask goes by those left.
func TestShareGoesByTheTargetsThatAreLeft(t *testing.T) {
	l := newRestartLab(t)
	left := func() float64 {
		s := NewProbeQuota(l.board, 10)
		s.Update()
		return float64(s.limiter.Limit())
	}
	l.listZones([]string{"x", "y"})
	all := left()
	l.listZones([]string{"x", "y"}, "x")
	assert.Equal(t, left(), all/2)
}

// A call that is bound to regions goes nowhere else, also if nothing else is left, and not to a
// zone of which nobody knows where it is.
func TestCallsStayInTheirRegions(t *testing.T) {
	l := newRestartLab(t)
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

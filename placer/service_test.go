package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/placement"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// fullTarget told a moment ago that calls wait there.
func fullTarget(id ports.HostID, now time.Time) *target {
	t := silentTarget(id)
	t.figures.ObserveLoad(now, targetapi.Load{Running: 2, Waiting: 2, Slots: 2, Pace: 1})
	return t
}

// silentTarget never told anything.
func silentTarget(id ports.HostID) *target {
	t := newTarget(blackboard.Target{ID: id, Slots: 2}, "")
	t.figures.Baseline = placement.NewBaseline()
	return t
}

// All targets are full, and two of three let this host's probes wait or were not
// asked. By what is usual these two look cheaper. The caller is better served by the one
// that told how full it is: the silent ones are as full, or slow.
func TestTargetThatToldIsTakenBeforeASilentOne(t *testing.T) {
	now := time.Now()
	s := &service{targets: map[ports.HostID]*target{}}
	told, notAsked, owing := fullTarget("told", now), silentTarget("not asked"), fullTarget("owing", now)
	owing.probing = make(chan struct{})
	assert.Check(t, notAsked.figures.Cost(now, 0) < told.figures.Cost(now, 0))
	got, _ := s.best(now, 0, []ranked{{target: notAsked}, {target: owing}, {target: told}})
	assert.Equal(t, got, told)
	got, _ = s.best(now, 0, []ranked{{target: notAsked}, {target: owing}})
	assert.Equal(t, got, notAsked, "better than none")
}

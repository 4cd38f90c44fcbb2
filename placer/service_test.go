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

// fullTarget reported a moment ago that calls are queued there.
func fullTarget(id ports.HostID, now time.Time) *target {
	t := unreportedTarget(id)
	t.figures.ObserveLoad(now, targetapi.Load{Running: 2, Waiting: 2, Slots: 2, Slowdown: 1})
	return t
}

// unreportedTarget never reported its load.
func unreportedTarget(id ports.HostID) *target {
	t := newTarget(blackboard.Target{ID: id, Slots: 2}, "")
	t.figures.Baseline = placement.NewBaseline()
	return t
}

// All targets are full; one reported so, one still owes the answer to a probe and one was not
// probed. By the zone averages the latter two look cheaper, but they are just as full, or slow.
// The call must go to the target whose load is known.
func TestTargetWithKnownLoadIsPreferred(t *testing.T) {
	now := time.Now()
	s := &service{targets: map[ports.HostID]*target{}}
	reported, notProbed, pending := fullTarget("told", now), unreportedTarget("not asked"), fullTarget("owing", now)
	pending.probeDone = make(chan struct{})
	assert.Check(t, notProbed.figures.Cost(now, 0) < reported.figures.Cost(now, 0))
	got, _ := s.best(now, 0, []ranked{{target: notProbed}, {target: pending}, {target: reported}})
	assert.Equal(t, got, reported)
	got, _ = s.best(now, 0, []ranked{{target: notProbed}, {target: pending}})
	assert.Equal(t, got, notProbed, "a target of unknown load is better than none")
}

package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Targets that do not report their load still answer probes: a quick answer means a free slot,
// a slow one a slow or full target. The call must go to the quick one.
func TestUnreportedTargetsAreRankedByProbeTime(t *testing.T) {
	now := time.Now()
	s := &service{}
	quick, slow := unreportedTarget("quick"), unreportedTarget("slow")
	for range 20 {
		s.recordLoadlessProbe(now, quick, 2*time.Millisecond)
	}
	s.recordLoadlessProbe(now, slow, 14*time.Millisecond)
	assert.Check(t, quick.figures.Cost(now, 0) < slow.figures.Cost(now, 0))
	got, _ := s.best(now, 0, []ranked{{target: slow}, {target: quick}})
	assert.Equal(t, got, quick)
}

// A service counts as not reporting load after some probe responses without a report, and as
// reporting again with the first one.
func TestServiceReportsNoLoadUntilATargetDoes(t *testing.T) {
	now := time.Now()
	s := &service{}
	target := unreportedTarget("a")
	for range loadlessThreshold - 1 {
		s.recordLoadlessProbe(now, target, time.Millisecond)
	}
	assert.Check(t, !s.reportsNoLoad())
	s.recordLoadlessProbe(now, target, time.Millisecond)
	assert.Check(t, s.reportsNoLoad())
	s.recordLoad(now, target, targetapi.Load{Slots: 2, Slowdown: 1})
	assert.Check(t, !s.reportsNoLoad())
}

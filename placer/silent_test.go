package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Targets that tell nothing of their load answer probes all the same: a quick answer
// is one of a target with a slot free, a late one that of a slow or full one. The caller
// gets the quick one.
func TestSilentTargetsAreToldApartByTheirAnswersTimes(t *testing.T) {
	now := time.Now()
	s := &service{}
	quick, slow := silentTarget("quick"), silentTarget("slow")
	for range 20 {
		s.answeredSilently(now, quick, 2*time.Millisecond)
	}
	s.answeredSilently(now, slow, 14*time.Millisecond)
	assert.Check(t, quick.figures.Cost(now, 0) < slow.figures.Cost(now, 0))
	got, _ := s.best(now, 0, []ranked{{target: slow}, {target: quick}})
	assert.Equal(t, got, quick)
}

// A service counts as silent after some answers that told nothing, and as one that tells
// its load with the first that does.
func TestServiceIsSilentUntilATargetTells(t *testing.T) {
	now := time.Now()
	s := &service{}
	target := silentTarget("a")
	for range silentFrom - 1 {
		s.answeredSilently(now, target, time.Millisecond)
	}
	assert.Check(t, !s.isSilent())
	s.answeredSilently(now, target, time.Millisecond)
	assert.Check(t, s.isSilent())
	s.told(now, target, targetapi.Load{Slots: 2, Slowdown: 1})
	assert.Check(t, !s.isSilent())
}

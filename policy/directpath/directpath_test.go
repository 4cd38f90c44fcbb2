package directpath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Unix(1000, 0)

// Guards against taking a target that is down for a path that is cut.
func TestFailureAloneIsNoLostPath(t *testing.T) {
	var s State
	s.Failed(noon)
	assert.Check(t, !s.Lost())
	assert.Check(t, s.Unusable(noon.Add(failureMemory-1)))
	assert.Check(t, !s.Unusable(noon.Add(failureMemory)))
	assert.Check(t, !s.TakeCheck(noon.Add(time.Hour)))
}

func TestLostPathIsCheckedLessAndLessOften(t *testing.T) {
	var s State
	assert.Check(t, s.Bypassed(noon, noon))
	assert.Check(t, !s.Bypassed(noon, noon), "only the first is news")
	checks := 0
	for now := noon; now.Before(noon.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if s.TakeCheck(now) {
			checks++
		}
	}
	assert.Check(t, checks >= 5 && checks <= 8, "%d checks", checks)
	lostFor, regained := s.Opened(noon.Add(20 * time.Second))
	assert.Check(t, regained)
	assert.Equal(t, lostFor, 20*time.Second)
}

// Guards against callers that pay for each change of a path that comes and goes.
func TestPathThatComesAndGoesIsTrustedLessAndLessOften(t *testing.T) {
	var s State
	now := noon
	var gaps []time.Duration
	for range 4 {
		s.Bypassed(now, now)
		lost := now
		for !s.TakeCheck(now) {
			now = now.Add(10 * time.Millisecond)
		}
		gaps = append(gaps, now.Sub(lost))
		s.Opened(now)
	}
	assert.DeepEqual(t, gaps, []time.Duration{firstCheck, 2 * firstCheck, 4 * firstCheck, 8 * firstCheck})
	now = now.Add(steadyAfter + 1)
	s.Bypassed(now, now)
	assert.Check(t, s.TakeCheck(now.Add(firstCheck)), "a path that was well for long starts anew")
}

// Guards against a path that loses a packet now and then and is taken for lost.
func TestConnectionThatWasOpenedSinceContradictsAFailure(t *testing.T) {
	var s State
	s.Opened(noon.Add(time.Millisecond))
	s.Failed(noon.Add(time.Second))
	assert.Check(t, !s.Bypassed(noon.Add(time.Second), noon))
	assert.Check(t, s.Bypassed(noon.Add(time.Second), noon.Add(2*time.Millisecond)))
}

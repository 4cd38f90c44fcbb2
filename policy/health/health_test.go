package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Unix(1000, 0)

func TestFailureOfAllTargetsEjectsNone(t *testing.T) {
	var svc Service
	var s State
	for range 100 {
		svc.Record(true)
		assert.Check(t, !s.Record(noon, true, &svc))
	}
}

func TestTrialEndsWithSuccessesOrALongerEjection(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var svc Service
	for range 100 {
		svc.Record(false)
	}
	var s State
	ejected := false
	for range 10 {
		ejected = ejected || s.Record(noon, true, &svc)
	}
	assert.Assert(t, ejected)
	s.Eject(noon, rng)
	assert.Check(t, s.Ejected(noon.Add(firstEjection-1)))
	later := noon.Add(2 * firstEjection)
	assert.Check(t, s.OnTrial() && !s.Ejected(later))
	assert.Check(t, s.Record(later, true, &svc), "a failure during the trial ejects again")
	s.Eject(later, rng)
	assert.Check(t, s.Ejected(later.Add(2*firstEjection-1)))
	later = later.Add(3 * firstEjection)
	for range trialSuccesses {
		assert.Check(t, !s.Record(later, false, &svc))
	}
	assert.Equal(t, s, State{})
}

func TestAGoodProbeOnlyShortensAnEjection(t *testing.T) {
	var s State
	s.Eject(noon, rand.New(rand.NewPCG(1, 1)))
	s.RecordProbe(noon, false)
	assert.Check(t, s.Ejected(noon))
	s.RecordProbe(noon, true)
	assert.Check(t, !s.Ejected(noon) && s.OnTrial())
}

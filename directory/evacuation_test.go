package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an ended evacuation coming back on a host that receives evacuations out of
// order or more than once.
func TestHostsAgreeOnEvacuationsWhateverTheyHearFirst(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var steps []Changes
		last := make(map[string]Evacuation)
		for rev := Revision(2); rev < 40; rev++ {
			o := Evacuation{Zone: fmt.Sprint("z", rng.IntN(4)), Revision: rev, Ended: rng.IntN(2) == 0}
			last[o.Zone] = o
			steps = append(steps, Changes{Revision: rev, Evacuations: []Evacuation{o}})
		}
		rng.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
		s := NewState()
		for _, c := range append(steps, steps[:10]...) {
			s.Apply(now, c)
		}
		other := NewState()
		other.Apply(now, s.Snapshot(now, 0, nil))
		for zone, o := range last {
			assert.Equal(t, s.Evacuations().Active(zone), !o.Ended, "seed %d", seed)
			assert.Equal(t, other.Evacuations().Active(zone), !o.Ended, "seed %d", seed)
		}
		assert.Equal(t, s.Evacuations().Digest(), other.Evacuations().Digest())
		assert.Equal(t, s.Evacuations().Newest(), other.Evacuations().Newest())
	}
}

// The store lost its history while an evacuation was lifted: the full read shows the end only by
// its absence. A read from before the evacuation must not end it.
func TestFullReadEndsEvacuationsThatItDoesNotContain(t *testing.T) {
	s := NewState()
	s.Apply(now, Changes{Revision: 10, Evacuations: []Evacuation{{Zone: "a", Revision: 10}, {Zone: "b", Revision: 9}}})
	s.Apply(now, Changes{AllEvacuations: 8})
	assert.Check(t, s.Evacuations().Active("a") && s.Evacuations().Active("b"), "the read is older than both evacuations")
	later := now.Add(time.Minute)
	applied := s.Apply(later, Changes{AllEvacuations: 20, Evacuations: []Evacuation{{Zone: "b", Revision: 9}}})
	assert.DeepEqual(t, applied.Evacuations, []Evacuation{{Zone: "a", Revision: 20, Ended: true}})
	assert.Check(t, !s.Evacuations().Active("a") && s.Evacuations().Active("b"))
	assert.Equal(t, s.Evacuations().EndedAt("a"), later)
	s.Apply(later, Changes{Revision: 10, Evacuations: []Evacuation{{Zone: "a", Revision: 10}}})
	assert.Check(t, !s.Evacuations().Active("a"), "a late copy of the evacuation brought it back")
}

// Guards against taking a zone's targets for ones that may just have become cold: a host that
// starts receives ends of evacuations from long ago.
func TestEndOfAnUnknownEvacuationHasNoTime(t *testing.T) {
	s := NewState()
	s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 10, Ended: true}}})
	assert.Check(t, s.Evacuations().EndedAt("a").IsZero())
	s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 11}}})
	s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 12, Ended: true}}})
	assert.Equal(t, s.Evacuations().EndedAt("a"), now)
}

// An evacuation ordered twice is one evacuation, in force since the first.
func TestEvacuationOrderedTwiceIsInForceSinceTheFirst(t *testing.T) {
	s := NewState()
	s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 10}}})
	applied := s.Apply(now.Add(time.Second), Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 11}}})
	assert.Equal(t, len(applied.Evacuations), 1)
	assert.Equal(t, s.Evacuations().All()[0].Since, now)
	assert.Check(t, s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 11}}}).Empty())
}

// Operators keep naming new zones. The number of remembered ended evacuations must stay bounded,
// and evacuations in force must never be dropped.
func TestEndedEvacuationsAreForgottenBeyondABound(t *testing.T) {
	s := NewState()
	s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: "kept", Revision: 1}}})
	for i := range 3 * maxEndedEvacuations {
		s.Apply(now, Changes{Evacuations: []Evacuation{{Zone: fmt.Sprint(i), Revision: Revision(i + 2), Ended: true}}})
	}
	assert.Equal(t, len(s.Evacuations().All()), maxEndedEvacuations+1)
	assert.Check(t, s.Evacuations().Active("kept"))
}

package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Hosts hear of orders in any order and more than once; an order that has ended must not come
// back on any of them.
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
			s.Take(now, c)
		}
		other := NewState()
		other.Take(now, s.Whole(now, 0, nil))
		for zone, o := range last {
			assert.Equal(t, s.Evacuations().Active(zone), !o.Ended, "seed %d", seed)
			assert.Equal(t, other.Evacuations().Active(zone), !o.Ended, "seed %d", seed)
		}
		assert.Equal(t, s.Evacuations().Digest(), other.Evacuations().Digest())
		assert.Equal(t, s.Evacuations().Newest(), other.Evacuations().Newest())
	}
}

// The store lost its history while an order was taken back: the reading of the whole record
// shows the end by a gap. A reading of before the order shows nothing.
func TestWholeReadingEndsOrdersThatItDoesNotName(t *testing.T) {
	s := NewState()
	s.Take(now, Changes{Revision: 10, Evacuations: []Evacuation{{Zone: "a", Revision: 10}, {Zone: "b", Revision: 9}}})
	s.Take(now, Changes{AllEvacuations: 8})
	assert.Check(t, s.Evacuations().Active("a") && s.Evacuations().Active("b"), "the reading is older than both orders")
	later := now.Add(time.Minute)
	news := s.Take(later, Changes{AllEvacuations: 20, Evacuations: []Evacuation{{Zone: "b", Revision: 9}}})
	assert.DeepEqual(t, news.Evacuations, []Evacuation{{Zone: "a", Revision: 20, Ended: true}})
	assert.Check(t, !s.Evacuations().Active("a") && s.Evacuations().Active("b"))
	assert.Equal(t, s.Evacuations().EndedAt("a"), later)
	s.Take(later, Changes{Revision: 10, Evacuations: []Evacuation{{Zone: "a", Revision: 10}}})
	assert.Check(t, !s.Evacuations().Active("a"), "a late word of the order brought it back")
}

// A host that starts is told of orders that ended long ago. It must not take their zones for
// ones whose targets may just have turned cold.
func TestEndOfAnOrderThatWasNeverKnownSaysNothingOfItsTime(t *testing.T) {
	s := NewState()
	s.Take(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 10, Ended: true}}})
	assert.Check(t, s.Evacuations().EndedAt("a").IsZero())
	s.Take(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 11}}})
	s.Take(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 12, Ended: true}}})
	assert.Equal(t, s.Evacuations().EndedAt("a"), now)
}

// One order twice is one order, known since the first.
func TestOrderGivenTwiceStandsSinceTheFirst(t *testing.T) {
	s := NewState()
	s.Take(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 10}}})
	news := s.Take(now.Add(time.Second), Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 11}}})
	assert.Equal(t, len(news.Evacuations), 1)
	assert.Equal(t, s.Evacuations().All()[0].Since, now)
	assert.Check(t, s.Take(now, Changes{Evacuations: []Evacuation{{Zone: "a", Revision: 11}}}).Empty())
}

// Operators name ever new zones. What is remembered of orders that ended stays bounded, and
// orders in force are never forgotten.
func TestEndedOrdersAreForgottenBeyondABound(t *testing.T) {
	s := NewState()
	s.Take(now, Changes{Evacuations: []Evacuation{{Zone: "kept", Revision: 1}}})
	for i := range 3 * maxEndedEvacuations {
		s.Take(now, Changes{Evacuations: []Evacuation{{Zone: fmt.Sprint(i), Revision: Revision(i + 2), Ended: true}}})
	}
	assert.Equal(t, len(s.Evacuations().All()), maxEndedEvacuations+1)
	assert.Check(t, s.Evacuations().Active("kept"))
}

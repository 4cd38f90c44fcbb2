package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Three of four answers come in 2 ms, the others from slow targets in 14: the usual time
// must stay near that of the many, whatever the order, and follow when all become slower.
func TestUsualTimeOfQuestions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var q ProbeTimes
	assert.Equal(t, q.Typical(), time.Duration(0))
	for range 500 {
		if rng.IntN(4) == 0 {
			q.Observe(14 * time.Millisecond)
		} else {
			q.Observe(2 * time.Millisecond)
		}
	}
	assert.Check(t, q.Typical() < 3*time.Millisecond && q.Typical() > 1500*time.Microsecond, "%s", q.Typical())
	for range 200 {
		q.Observe(8 * time.Millisecond)
	}
	assert.Check(t, q.Typical() > 6*time.Millisecond, "%s", q.Typical())
}

// One answer of a liar, or of a host that was paused, moves the usual time by a twentieth
// at most; answers at no time at all do not make every other look endless.
func TestUsualTimeIsNotLedAstray(t *testing.T) {
	var q ProbeTimes
	for range 50 {
		q.Observe(4 * time.Millisecond)
	}
	before := q.Typical()
	q.Observe(time.Hour)
	assert.Check(t, q.Typical() < before+before/20)
	for range 1000 {
		q.Observe(0)
	}
	assert.Equal(t, q.Typical(), leastUsual)
}

// A large answer goes to another zone only if the wait in its own is long, a small one
// where it is soonest.
func TestWayOfLargeAndSmallAnswers(t *testing.T) {
	busy := told(4, 2, 1)
	free := told(0, 0, 1)
	free.OtherZone = true
	assert.Check(t, free.Cost(now, TransferCost(400)) < busy.Cost(now, TransferCost(400)))
	assert.Check(t, free.Cost(now, TransferCost(90_000)) > busy.Cost(now, TransferCost(90_000)))
	slow := told(4, 2, 7)
	assert.Check(t, free.Cost(now, TransferCost(90_000)) < slow.Cost(now, TransferCost(90_000)))
}

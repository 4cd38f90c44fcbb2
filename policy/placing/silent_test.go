package placing

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
	assert.Equal(t, q.Usual(), time.Duration(0))
	for range 500 {
		if rng.IntN(4) == 0 {
			q.Learn(14 * time.Millisecond)
		} else {
			q.Learn(2 * time.Millisecond)
		}
	}
	assert.Check(t, q.Usual() < 3*time.Millisecond && q.Usual() > 1500*time.Microsecond, "%s", q.Usual())
	for range 200 {
		q.Learn(8 * time.Millisecond)
	}
	assert.Check(t, q.Usual() > 6*time.Millisecond, "%s", q.Usual())
}

// One answer of a liar, or of a host that was paused, moves the usual time by a twentieth
// at most; answers at no time at all do not make every other look endless.
func TestUsualTimeIsNotLedAstray(t *testing.T) {
	var q ProbeTimes
	for range 50 {
		q.Learn(4 * time.Millisecond)
	}
	before := q.Usual()
	q.Learn(time.Hour)
	assert.Check(t, q.Usual() < before+before/20)
	for range 1000 {
		q.Learn(0)
	}
	assert.Equal(t, q.Usual(), leastUsual)
}

// A large answer goes to another zone only if the wait in its own is long, a small one
// where it is soonest.
func TestWayOfLargeAndSmallAnswers(t *testing.T) {
	busy := told(4, 2, 1)
	free := told(0, 0, 1)
	free.Far = true
	assert.Check(t, free.Cost(now, Way(400)) < busy.Cost(now, Way(400)))
	assert.Check(t, free.Cost(now, Way(90_000)) > busy.Cost(now, Way(90_000)))
	slow := told(4, 2, 7)
	assert.Check(t, free.Cost(now, Way(90_000)) < slow.Cost(now, Way(90_000)))
}

package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Three of four responses take 2 ms and the others, from slow targets, 14 ms. The typical time
// must stay near that of the majority in any order, and follow when all become slower.
func TestTypicalProbeTime(t *testing.T) {
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

// A single outlier, as from a misbehaving target or a paused host, must move the typical time by
// a twentieth at most; responses in no time must not make every other look extreme.
func TestTypicalProbeTimeIsRobustToOutliers(t *testing.T) {
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
	assert.Equal(t, q.Typical(), minTypical)
}

// A large response goes to another zone only if the wait in its own is long, a small one where it
// is served soonest.
func TestTransferCostOfLargeAndSmallResponses(t *testing.T) {
	busy := reported(4, 2, 1)
	free := reported(0, 0, 1)
	free.OtherZone = true
	assert.Check(t, free.Cost(now, TransferCost(400)) < busy.Cost(now, TransferCost(400)))
	assert.Check(t, free.Cost(now, TransferCost(90_000)) > busy.Cost(now, TransferCost(90_000)))
	slow := reported(4, 2, 7)
	assert.Check(t, free.Cost(now, TransferCost(90_000)) < slow.Cost(now, TransferCost(90_000)))
}

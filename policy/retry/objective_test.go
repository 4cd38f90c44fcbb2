package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestObjectiveHedgeDelay(t *testing.T) {
	for _, c := range []struct {
		median, high, objective, remaining, want time.Duration
		ok                                       bool
		why                                      string
	}{
		{200 * ms, 300 * ms, 600 * ms, 2500 * ms, 280 * ms, true, "as late as a hedge can meet the objective"},
		{200 * ms, 300 * ms, 2000 * ms, 2500 * ms, 1680 * ms, true, "a distant objective allows a long wait"},
		{100 * ms, 150 * ms, 210 * ms, 1000 * ms, 200 * ms, true, "no hedge could meet the objective: after nearly all responses"},
		{100 * ms, 400 * ms, 0, 1000 * ms, 400 * ms, true, "the objective has passed"},
		{200 * ms, 300 * ms, 0, 500 * ms, 0, false, "a hedge would miss the deadline"},
		{0, 0, 600 * ms, 2500 * ms, 0, false, "no latency is known"},
	} {
		got, ok := ObjectiveHedgeDelay(c.median, c.high, c.objective, c.remaining)
		assert.Equal(t, ok, c.ok, c.why)
		assert.Equal(t, got, c.want, c.why)
	}
}

// Hedges must leave a part of the budget to retries of calls that were refused or failed.
func TestHedgesLeaveAPartOfTheBudget(t *testing.T) {
	w := NewWindow(WindowLimits{Ratio: 0, Reserve: 10, Span: 10 * time.Second})
	now := time.Unix(1000, 0)
	taken := 0
	for range 20 {
		if w.TakeWithin(now, 0.6) {
			taken++
		}
	}
	assert.Equal(t, taken, 6)
	for range 20 {
		if w.Take(now) {
			taken++
		}
	}
	assert.Equal(t, taken, 10)
}

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestSecondSend(t *testing.T) {
	for _, c := range []struct {
		usual, high, objective, left, want time.Duration
		ok                                 bool
		why                                string
	}{
		{200 * ms, 300 * ms, 600 * ms, 2500 * ms, 280 * ms, true, "as late as it can be in time"},
		{200 * ms, 300 * ms, 2000 * ms, 2500 * ms, 1680 * ms, true, "there is time"},
		{100 * ms, 150 * ms, 210 * ms, 1000 * ms, 200 * ms, true, "no second answer could be in time: when nearly all have come"},
		{100 * ms, 400 * ms, 0, 1000 * ms, 400 * ms, true, "the objective has passed"},
		{200 * ms, 300 * ms, 0, 500 * ms, 0, false, "it would come too late"},
		{0, 0, 600 * ms, 2500 * ms, 0, false, "nothing is known"},
	} {
		got, ok := ObjectiveHedgeDelay(c.usual, c.high, c.objective, c.left)
		assert.Equal(t, ok, c.ok, c.why)
		assert.Equal(t, got, c.want, c.why)
	}
}

// Second sends leave a part of the budget to calls that were refused or failed.
func TestSecondSendsLeaveAPartOfTheBudget(t *testing.T) {
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

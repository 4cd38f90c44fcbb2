package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All calls of a service fail for a while and want a retry. No span of the window's length may
// contain more retries than the fraction of the calls in it plus the reserve: otherwise the
// retries of all hosts would overload the remaining targets.
func TestNoSpanExceedsItsLimit(t *testing.T) {
	limits := WindowLimits{Ratio: 0.2, Reserve: 4, Span: 10 * time.Second}
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := NewWindow(limits)
		now := time.Unix(1000, 0)
		var calls, retries []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			calls = append(calls, now)
			w.RecordCall(now)
			if w.Take(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-limits.Span)
			n, m := within(retries, from, end), within(calls, from, end)
			assert.Check(t, float64(n) <= limits.Ratio*float64(m)+limits.Reserve, "seed %d: %d retries of %d calls", seed, n, m)
		}
		assert.Check(t, len(retries) > 600, "seed %d: only %d retries", seed, len(retries))
	}
}

func within(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestIdleServiceHasItsReserve(t *testing.T) {
	w := NewWindow(WindowLimits{Ratio: 0.2, Reserve: 2, Span: time.Second})
	now := time.Unix(1000, 0)
	assert.Check(t, w.Take(now))
	assert.Check(t, w.Take(now))
	assert.Check(t, !w.Take(now))
	assert.Check(t, w.Take(now.Add(1200*time.Millisecond)))
}

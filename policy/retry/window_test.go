package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Targets fail for a while and every call wants another attempt. In no span of
// the window's length may more be made than the share of the calls in it and the
// reserve: the attempts of all hosts would crush the targets that are left.
func TestNoSpanHoldsMoreThanItsShare(t *testing.T) {
	limits := WindowLimits{Ratio: 0.2, Reserve: 4, Span: 10 * time.Second}
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := NewWindow(limits)
		now := time.Unix(1000, 0)
		var calls, spent []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			calls = append(calls, now)
			w.RecordCall(now)
			if w.Take(now) {
				spent = append(spent, now)
			}
		}
		for _, end := range spent {
			from := end.Add(-limits.Span)
			n, m := within(spent, from, end), within(calls, from, end)
			assert.Check(t, float64(n) <= limits.Ratio*float64(m)+limits.Reserve, "seed %d: %d of %d", seed, n, m)
		}
		assert.Check(t, len(spent) > 600, "seed %d: only %d", seed, len(spent))
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

func TestQuietServiceHasItsReserve(t *testing.T) {
	w := NewWindow(WindowLimits{Ratio: 0.2, Reserve: 2, Span: time.Second})
	now := time.Unix(1000, 0)
	assert.Check(t, w.Take(now))
	assert.Check(t, w.Take(now))
	assert.Check(t, !w.Take(now))
	assert.Check(t, w.Take(now.Add(1200*time.Millisecond)))
}

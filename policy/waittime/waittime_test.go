package waittime

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// Callers of two kinds start with 1.5 s and with 0.5 s; some retry with whatever is left. Only
// retries have waited, and none longer than possible.
func TestRetriesHaveWaited(t *testing.T) {
	var p Estimator
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		switch {
		case i%3 == 0:
			remaining := time.Duration(rng.Int64N(1400)) * time.Millisecond
			if waited := p.Estimate(remaining); i > 100 {
				assert.Check(t, waited > 0 || remaining == second/2, "%s", remaining)
				assert.Check(t, waited <= 3*second/2-remaining, "%s", remaining)
			}
		case i%3 == 1:
			assert.Equal(t, p.Estimate(3*second/2), time.Duration(0))
		default:
			assert.Equal(t, p.Estimate(second/2), time.Duration(0), "request %d", i)
		}
	}
	assert.Equal(t, p.Estimate(1400*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, p.Estimate(400*time.Millisecond), 100*time.Millisecond, "the closer of the two timeouts")
}

// A host that has just started has no estimate for anybody.
func TestNoEstimateAtFirst(t *testing.T) {
	var p Estimator
	for left := range 7 {
		assert.Equal(t, p.Estimate(time.Duration(left)*second), time.Duration(0))
	}
}

// The operator increases the timeout of callers. Requests with the new one are no retries, and
// the old one is eventually forgotten.
func TestNewTimeoutIsLearned(t *testing.T) {
	var p Estimator
	for range 1000 {
		p.Estimate(second)
	}
	for range 20 {
		assert.Equal(t, p.Estimate(2*second), time.Duration(0))
	}
	assert.Equal(t, p.Estimate(1900*time.Millisecond), 100*time.Millisecond)
}

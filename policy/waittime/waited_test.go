package waittime

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// Callers of two kinds begin with 1.5 s and with 0.5 s; some come again with whatever is
// left. Only these have waited, and none is taken for one that waited longer than it can
// have.
func TestWhoComesAgainHasWaited(t *testing.T) {
	var p Estimator
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		switch {
		case i%3 == 0:
			again := time.Duration(rng.Int64N(1400)) * time.Millisecond
			if waited := p.Estimate(again); i > 100 {
				assert.Check(t, waited > 0 || again == second/2, "%s", again)
				assert.Check(t, waited <= 3*second/2-again, "%s", again)
			}
		case i%3 == 1:
			assert.Equal(t, p.Estimate(3*second/2), time.Duration(0))
		default:
			assert.Equal(t, p.Estimate(second/2), time.Duration(0), "request %d", i)
		}
	}
	assert.Equal(t, p.Estimate(1400*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, p.Estimate(400*time.Millisecond), 100*time.Millisecond, "the nearer of the two")
}

// Nobody has waited as far as a host knows that has just started.
func TestNothingIsKnownAtFirst(t *testing.T) {
	var p Estimator
	for left := range 7 {
		assert.Equal(t, p.Estimate(time.Duration(left)*second), time.Duration(0))
	}
}

// The operator gives callers more time. Those who say the new one have not waited, and
// the old one is forgotten after a while.
func TestANewTimeIsLearned(t *testing.T) {
	var p Estimator
	for range 1000 {
		p.Estimate(second)
	}
	for range 20 {
		assert.Equal(t, p.Estimate(2*second), time.Duration(0))
	}
	assert.Equal(t, p.Estimate(1900*time.Millisecond), 100*time.Millisecond)
}

package latency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQuantilesAreNearAndFollowAChange(t *testing.T) {
	var tr Tracker
	for i := range 1000 {
		tr.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	within(t, tr.Median(), 50*time.Millisecond)
	within(t, tr.P95(), 95*time.Millisecond)
	within(t, tr.Mean(), 50*time.Millisecond)
	for range 20_000 {
		tr.Observe(5 * time.Millisecond)
	}
	within(t, tr.P95(), 5*time.Millisecond)
}

// within checks that got is near want, with a tolerance of the width of a bucket.
func within(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Check(t, got >= want*85/100 && got <= want*115/100, "got %s, want about %s", got, want)
}

func TestEveryLatencyIsWithinTheBoundsOfItsBucket(t *testing.T) {
	for d := time.Duration(1); d < time.Minute; d = d*3/2 + 1 {
		i := bucket(d)
		assert.Check(t, d < upperBound(i), "%s is not below the upper bound %s of its bucket", d, upperBound(i))
		assert.Check(t, i == 0 || d >= upperBound(i-1), "%s is below the lower bound of its bucket %d", d, i)
	}
}

func TestAWaitRequiresMoreTime(t *testing.T) {
	var tr Tracker
	for i := range 1000 {
		tr.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	assert.Equal(t, tr.RequiredTime(0), tr.Median())
	assert.Equal(t, tr.RequiredTime(time.Second), time.Second+tr.P95())
}

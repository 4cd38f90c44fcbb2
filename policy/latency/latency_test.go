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

// within allows for the width of a bucket.
func within(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Check(t, got >= want*85/100 && got <= want*115/100, "%s is not near %s", got, want)
}

func TestEveryLatencyHasABucketBelowItsEdge(t *testing.T) {
	for d := time.Duration(1); d < time.Minute; d = d*3/2 + 1 {
		i := bucket(d)
		assert.Check(t, d < edge(i), "%s is not below the edge %s of its bucket", d, edge(i))
		assert.Check(t, i == 0 || d >= edge(i-1), "%s is below its bucket %d", d, i)
	}
}

func TestAWaitAsksForMoreRoom(t *testing.T) {
	var tr Tracker
	for i := range 1000 {
		tr.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	assert.Equal(t, tr.RequiredTime(0), tr.Median())
	assert.Equal(t, tr.RequiredTime(time.Second), time.Second+tr.P95())
}

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetriesStayWithinTheShareOfCalls(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(0.1, now)
	taken := 0
	for range 10_000 {
		b.RecordCall()
		if b.Take(now) {
			taken++
		}
	}
	assert.Check(t, taken >= 999 && taken <= 1001, "%d retries of 10000 calls", taken)
}

func TestIdleWorkspaceMayRetryOccasionally(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(0.1, now)
	assert.Check(t, b.Take(now))
	assert.Check(t, !b.Take(now.Add(time.Second)))
	assert.Check(t, b.Take(now.Add(6*time.Second)))
	assert.Check(t, !NewBudget(0, now).Take(now.Add(time.Hour)))
}

func TestHedgeWaitsForTheLearnedQuantile(t *testing.T) {
	d, ok := HedgeDelay(20*time.Millisecond, 4*time.Millisecond, time.Second)
	assert.Check(t, ok)
	assert.Equal(t, d, 20*time.Millisecond)
	_, ok = HedgeDelay(20*time.Millisecond, 4*time.Millisecond, 22*time.Millisecond)
	assert.Check(t, !ok, "the hedge could not be answered in time")
	_, ok = HedgeDelay(0, 0, time.Second)
	assert.Check(t, !ok, "no latency is known yet")
}

package transit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking a message that waited in a queue for a new one: whatever the offset of the
// clocks and the delays of the measurement, the estimate is at least the time in transit, and
// exceeds it by no more than the measurement took.
func TestTransitIsNeverUnderestimated(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		delay := func() time.Duration { return time.Duration(rng.Int64N(int64(3 * time.Second))) }
		offset := time.Duration(rng.Int64N(int64(time.Hour))) - 30*time.Minute
		var c Clock
		now := time.Minute
		out, back := delay(), delay()
		c.Measure(now, now+out+back, now+out-offset)
		now += out + back
		for range 20 {
			now += delay()
			took := delay()
			c.Receive(now-took-offset, now)
			got, known := c.Transit(now-took-offset, now)
			assert.Assert(t, known)
			assert.Check(t, c.Growth(now-took-offset, now) <= took, "seed %d", seed)
			assert.Check(t, got >= took && got <= took+out+back, "seed %d: %s for %s, measured within %s", seed, got, took, out+back)
		}
	}
}

func TestUnmeasuredClockTellsNothing(t *testing.T) {
	var c Clock
	_, known := c.Transit(time.Second, 2*time.Second)
	assert.Check(t, !known)
	assert.Check(t, c.NeedsMeasurement(0, time.Second))
}

// Guards against a host that is believed late for good: a pause of the other machine's clock, or
// drift over hours, makes its messages look old until the clock is measured again.
func TestPausedClockIsMeasuredAgain(t *testing.T) {
	const pause = 5 * time.Second
	var c Clock
	c.Measure(time.Second, time.Second+time.Millisecond, time.Second)
	late, _ := c.Transit(2*time.Minute-pause, 2*time.Minute)
	assert.Check(t, late >= pause)
	assert.Assert(t, c.NeedsMeasurement(late, 2*time.Minute))
	c.Measure(2*time.Minute, 2*time.Minute+time.Millisecond, 2*time.Minute-pause)
	now, _ := c.Transit(3*time.Minute-pause, 3*time.Minute)
	assert.Check(t, now <= time.Millisecond, "%s", now)
}

// A host that is late by a precise measurement is not measured again and again while its link is
// full.
func TestPreciseClockIsNotMeasuredAgain(t *testing.T) {
	var c Clock
	c.Measure(time.Second, time.Second+time.Millisecond, time.Second)
	late, _ := c.Transit(2*time.Second, 5*time.Second)
	assert.Check(t, late >= 3*time.Second)
	assert.Check(t, !c.NeedsMeasurement(late, 5*time.Second))
}

// A worse measurement soon after a good one changes nothing.
func TestSlowMeasurementDoesNotReplaceAPreciseOne(t *testing.T) {
	var c Clock
	c.Measure(time.Second, time.Second+time.Millisecond, time.Second)
	c.Measure(2*time.Second, 5*time.Second, 4*time.Second)
	got, _ := c.Transit(6*time.Second, 6*time.Second)
	assert.Check(t, got <= time.Millisecond, "%s", got)
}

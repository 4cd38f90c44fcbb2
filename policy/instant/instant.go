// Package instant provides a compact representation of time. Choosing a target compares several
// times per target; with time.Time these comparisons would dominate its cost.
package instant

import "time"

// Time is the number of nanoseconds since the first time that its Clock converted.
type Time int64

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from earlier to t.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Clock converts values of time.Time. It uses the monotonic clock: with the wall clock, a step
// back of an hour would extend a penalty of 50 ms to an hour.
type Clock struct{ origin time.Time }

// At converts t. The first call sets the origin.
func (c *Clock) At(t time.Time) Time {
	if c.origin.IsZero() {
		c.origin = t
	}
	return Time(t.Sub(c.origin))
}

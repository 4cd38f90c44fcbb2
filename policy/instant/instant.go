// Package instant has a compact time. A choice looks at several times of every
// target; comparing values of time.Time would take most of it.
package instant

import "time"

// Time is a time in nanoseconds since the first one its Clock was asked for.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration since an earlier time.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Clock converts times. It keeps to the monotonic clock: by the wall clock, a
// step back of an hour would hold a sign of 50 ms against a target for an hour.
type Clock struct{ base time.Time }

// At returns t as a Time.
func (c *Clock) At(t time.Time) Time {
	if c.base.IsZero() {
		c.base = t
	}
	return Time(t.Sub(c.base))
}

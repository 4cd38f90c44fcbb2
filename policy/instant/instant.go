// Package instant has a compact time. A choice looks at several times of every
// target; comparing values of time.Time would take most of it.
package instant

import "time"

// Time is a time in nanoseconds since a fixed point.
type Time int64

// Of returns t as a Time.
func Of(t time.Time) Time { return Time(t.UnixNano()) }

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration since an earlier time.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

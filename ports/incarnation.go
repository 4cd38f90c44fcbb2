package ports

import "strconv"

// Incarnation is one run of a target's process: when it started, in Unix milliseconds, as
// the target says itself; 0 if it does not. A target may start again under the name that
// it had, and then knows nothing of before.
type Incarnation int64

// Replaces reports whether a target's word of this incarnation ends all that is known of
// another one. One that is not told says nothing of which came first.
func (i Incarnation) Replaces(old Incarnation) bool { return i != old && i != 0 && old != 0 }

// RunID names one run of a target, so that what is remembered of one is not held against
// the next that has the same name.
type RunID string

// NewRunID returns the name of a target's run.
func NewRunID(target HostID, i Incarnation) RunID {
	if i == 0 {
		return RunID(target)
	}
	return RunID(string(target) + "@" + strconv.FormatInt(int64(i), 10))
}

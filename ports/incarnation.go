package ports

import (
	"strconv"
	"strings"
)

// Incarnation identifies one run of a target's process. It is the start time in Unix
// milliseconds that the target reports, or 0 if it reports none. A target may restart under
// the same host ID and then has none of its earlier state.
type Incarnation int64

// Replaces reports whether a report from this incarnation invalidates what is known of the
// other one. It returns false if either is unknown (0), since their order can not be told.
func (i Incarnation) Replaces(old Incarnation) bool { return i != old && i != 0 && old != 0 }

// RunID identifies one run of a target, so that state recorded for a run is not applied to a
// later run with the same host ID.
type RunID string

// HasIncarnation reports whether the incarnation is known.
func (r RunID) HasIncarnation() bool { return strings.Contains(string(r), "@") }

// NewRunID returns the RunID of an incarnation: the host ID, followed by "@" and the
// incarnation if that is known.
func NewRunID(target HostID, i Incarnation) RunID {
	if i == 0 {
		return RunID(target)
	}
	return RunID(string(target) + "@" + strconv.FormatInt(int64(i), 10))
}

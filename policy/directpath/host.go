package directpath

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// cutFromTargets is the number of targets whose connections must have failed since this host last
// opened one, or broken since one last answered, for it to be taken for cut off, and whose connections
// must have stalled for all to be in doubt.
const cutFromTargets = 2

// stallMemory is how long a request without an answer makes other connections doubtful. All requests end
// within that time, so that connections that stalled at once are seen together.
const stallMemory = 10 * time.Second

// Host is what a host knows of its own paths to all targets together. It is not safe for
// concurrent use.
//
// It distinguishes a host that is cut off from a target that turns connections away because it has too
// many, or is down: connections to others are opened meanwhile. When all hosts start at once, most
// targets turn some connections away, and a detour for each would bring them more.
type Host struct {
	// failed are the targets whose connections failed since one to any target was opened.
	failed map[ports.HostID]bool
	// broken are the targets whose connections broke under a request since any target answered.
	broken map[ports.HostID]bool
	// silent are the targets of which a connection or a request timed out since any target answered.
	silent map[ports.HostID]bool
	// answered is when any target last answered, or accepted a connection.
	answered time.Time
	// stalled are the targets that left a request on a connection used before without an answer in
	// time, with the time at which it began.
	stalled map[ports.HostID]time.Time
	// usedAnsweredAt is when a target last answered on a connection used before, usedOpenedAt when
	// that connection was opened.
	usedAnsweredAt, usedOpenedAt time.Time
}

// Failed records that a connection to a target was refused or reset.
func (h *Host) Failed(target ports.HostID) {
	if len(h.failed) >= cutFromTargets {
		return
	}
	if h.failed == nil {
		h.failed = make(map[ports.HostID]bool)
	}
	h.failed[target] = true
}

// Broke records that a connection to a target broke under a request. It returns the targets whose
// crash is in doubt: if the connections to several broke and none has answered since, the paths
// may have been cut.
func (h *Host) Broke(target ports.HostID) []ports.HostID {
	if h.broken == nil {
		h.broken = make(map[ports.HostID]bool)
	}
	first := len(h.broken) < cutFromTargets
	h.broken[target] = true
	switch {
	case len(h.broken) < cutFromTargets:
		return nil
	case first:
		return slices.Collect(maps.Keys(h.broken))
	default:
		return []ports.HostID{target}
	}
}

// TimedOut records that a connection or a request to a target by this host's own path timed out.
func (h *Host) TimedOut(target ports.HostID) {
	if len(h.silent) >= cutFromTargets {
		return
	}
	if h.silent == nil {
		h.silent = make(map[ports.HostID]bool)
	}
	h.silent[target] = true
}

// TimeoutTellsOfTarget reports whether a recorded timeout of a connection or request that began at
// begun says something about its target: another target has answered since, or it is the only one
// that is silent. A path that loses packets and a processor that is short lose the answers of all.
func (h *Host) TimeoutTellsOfTarget(begun time.Time) bool {
	return h.answered.After(begun) || len(h.silent) < cutFromTargets
}

// timerSlack is the delay of a timer beyond which a host counts as short of processor time, for instance
// because its processor quota is used up.
const timerSlack = 50 * time.Millisecond

// TimerLate reports whether this host was short of processor time when a timeout was due: the
// response may have arrived and was not read.
func TimerLate(now, due time.Time) bool { return now.Sub(due) > timerSlack }

// FailureTellsOfTarget reports whether a recorded connection that was refused or reset says
// something about its target: it is the only one to which connections failed since one was opened.
func (h *Host) FailureTellsOfTarget() bool { return len(h.failed) < cutFromTargets }

// Opened records that a connection to some target was opened.
func (h *Host) Opened(now time.Time) {
	clear(h.failed)
	h.Answered(now)
}

// Answered records that some target answered on a connection of this host's own.
func (h *Host) Answered(now time.Time) {
	clear(h.broken)
	clear(h.silent)
	h.answered = now
}

// Unanswered records that a request that began at begun, on a connection that had been used before, got no
// answer in time. It reports whether all connections used before are in doubt: several targets left
// such requests without an answer, and none has answered on such a connection since.
//
// Connections may stop carrying data without a reset, while new ones work, for instance if a middlebox
// before the targets has lost its state.
func (h *Host) Unanswered(target ports.HostID, begun time.Time) bool {
	if h.usedAnsweredAt.After(begun) && h.usedOpenedAt.Before(begun) {
		return false
	}
	if h.stalled == nil {
		h.stalled = make(map[ports.HostID]time.Time)
	}
	h.stalled[target] = begun
	maps.DeleteFunc(h.stalled, func(_ ports.HostID, at time.Time) bool { return begun.Sub(at) > stallMemory })
	if len(h.stalled) < cutFromTargets {
		return false
	}
	clear(h.stalled)
	return true
}

// AnsweredOnUsed records that a target answered on a connection that had been used before, and when that
// connection was opened. The answer says nothing about older connections: they may have stalled before.
func (h *Host) AnsweredOnUsed(now, opened time.Time) {
	for target, begun := range h.stalled {
		if opened.Before(begun) {
			delete(h.stalled, target)
		}
	}
	h.usedAnsweredAt, h.usedOpenedAt = now, opened
}

// NoAnswerSince reports whether no target has answered since a time. While others answer, a
// target that does not answer is more likely slow: when all hosts start at once, many are.
func (h *Host) NoAnswerSince(t time.Time) bool { return h.answered.Before(t) }

// CutOff reports whether this host seems to be cut off.
func (h *Host) CutOff() bool {
	return len(h.failed) >= cutFromTargets || len(h.broken) >= cutFromTargets
}

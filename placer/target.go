package placer

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/placement"
)

const (
	// initialBackoff is how long an unreachable target gets no calls, maxBackoff the upper
	// bound after further failures.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// initialReplacedBackoff is how long a target gets no calls after its address answered for
	// another target: enough time for each host to see the platform's record of the change. It
	// doubles with each such answer up to maxReplacedBackoff, for store outages.
	initialReplacedBackoff = 2 * time.Second
	maxReplacedBackoff     = 32 * time.Second
	// shedBackoff is how long a target that shed a call gets no further calls from this host:
	// about the duration of one call, after which a slot is free again.
	shedBackoff = 50 * time.Millisecond
)

// target is the state that this host keeps for one run of a target.
type target struct {
	info    blackboard.Target
	figures placement.TargetState
	health  health.State
	// cold is the estimated warm-up state of the target, quota this host's share of the calls
	// to it while it is cold.
	cold  coldstart.Estimate
	quota coldQuota
	// coldTurn is the last change of the target to cold.
	coldTurn coldTurn
	// backoffUntil is the time until which the target gets no calls. connectFailures is the number
	// of consecutive failures to reach it, backoffs the number of those that said something about
	// the target.
	backoffUntil    time.Time
	connectFailures int
	// silentUntil is like backoffUntil for a probe without an answer in time, which was recorded at
	// silentAt. An answer to a later request ends it.
	silentAt, silentUntil time.Time
	backoffs              int
	// replacedBackoff is the last backoff after an answer for another target; a good answer
	// resets it to 0.
	replacedBackoff time.Duration
	// probeDone is closed when the probe in flight ends; nil if there is none.
	probeDone chan struct{}
}

func newTarget(info blackboard.Target, zone string) *target {
	t := &target{info: info}
	t.update(info, zone)
	return t
}

// update applies the platform's list entry.
func (t *target) update(info blackboard.Target, zone string) {
	info.Leaving = info.Leaving || t.info.Leaving
	t.info = info
	t.figures.Slots = max(info.Slots, 1)
	t.figures.OtherZone = info.Zone != zone
}

// available reports whether the target may get a call now.
func (t *target) available(now time.Time) bool {
	return !t.info.Leaving && !t.info.Evacuated && !now.Before(t.backoffUntil) && !now.Before(t.silentUntil) && !t.health.Ejected(now) &&
		(!t.health.OnTrial() || t.figures.InFlight == 0)
}

// loadKnown reports whether the target has a recent load report and no outstanding probe: a
// target that delays its probe is slow or full.
func (t *target) loadKnown(now time.Time) bool { return t.probeDone == nil && t.figures.Known(now) }

// backOff keeps calls off the target for d, or longer if a longer backoff is in force.
func (t *target) backOff(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
}

// markUnreachable backs off exponentially from a target that cannot be reached, and reports
// whether this is the first failure.
func (t *target) markUnreachable(now time.Time) bool {
	t.backOff(now, t.nextBackoff())
	return t.markNoPath()
}

// markSilent is like markUnreachable for a probe that got no answer in time: the connection may have
// stalled while the target is well.
func (t *target) markSilent(now time.Time) bool {
	t.silentAt, t.silentUntil = now, now.Add(t.nextBackoff())
	return t.markNoPath()
}

func (t *target) nextBackoff() time.Duration {
	d := min(initialBackoff<<min(t.backoffs, 8), maxBackoff)
	t.backoffs++
	return d
}

// markNoPath records a failure to reach the target that says nothing about it, and reports whether
// this is the first failure.
func (t *target) markNoPath() bool {
	t.connectFailures++
	return t.connectFailures == 1
}

// recordUnreached records that the target was not reached, with the result of the mark method that says
// how. It returns the log message of a resulting state change, or "".
func recordUnreached(first bool) (change string) {
	if first {
		return msgUnreachable
	}
	return ""
}

// markReachable records that the target answered a request that was sent at the given time, and
// reports whether it was unreachable before.
func (t *target) markReachable(sent time.Time) bool {
	if sent.After(t.silentAt) {
		t.silentUntil = time.Time{}
	}
	was := t.connectFailures > 0
	t.connectFailures, t.backoffs, t.replacedBackoff = 0, 0, 0
	return was
}

// markReplaced backs off exponentially from a target whose address answered for another target,
// and reports whether this is the first such answer.
//
// Such an answer (status 421) need not echo the request ID, so a corrupted response can be
// mistaken for one. The target is therefore not marked as leaving: if the answer is right, the
// platform's record confirms it soon. Until then the other target refuses the requests, so a
// retry after the backoff costs one attempt and runs nothing.
func (t *target) markReplaced(now time.Time) bool {
	first := t.replacedBackoff == 0
	t.replacedBackoff = min(max(2*t.replacedBackoff, initialReplacedBackoff), maxReplacedBackoff)
	t.backOff(now, t.replacedBackoff)
	return first
}

// recordEnd records the end of an attempt. It returns the log message of a resulting state
// change, or "".
func (t *target) recordEnd(now time.Time, r pick.Report) (change string) {
	t.figures.InFlight--
	switch r.Class {
	case pick.OK:
		if t.markReachable(now.Add(-r.Latency)) {
			return msgReachable
		}
	case pick.Shed:
		t.backOff(now, shedBackoff)
	case pick.NotSent:
		return recordUnreached(t.markUnreachable(now))
	case pick.NoPath:
		return recordUnreached(t.markNoPath())
	case pick.Leaving:
		t.info.Leaving = true
		return msgLeaving
	case pick.Replaced:
		if t.markReplaced(now) {
			return msgLeaving
		}
	}
	return ""
}

// Log messages for changes of a target's state as seen by this host.
const (
	msgReachable   = "target reached again"
	msgUnreachable = "target can not be reached"
	msgLeaving     = "target leaving by its own answer"
	msgEjected     = "target left out for its failures"
	msgCold        = "target cold by its own answer"
)

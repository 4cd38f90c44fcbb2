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
	// firstRest is how long a target that can not be reached is left alone, and
	// maxRest the most after further failures.
	firstRest = 250 * time.Millisecond
	maxRest   = 2 * time.Second
	// firstReplacedRest is how long a target is left alone whose address answered that it
	// is another's: the time in which each host knows what the record says of that. It
	// doubles with each such answer up to maxReplacedRest, for when the store is out.
	firstReplacedRest = 2 * time.Second
	maxReplacedRest   = 32 * time.Second
	// shedRest is how long a target that refused a call gets no other from this
	// host: about the work time of one call, after which a slot is free again.
	shedRest = 50 * time.Millisecond
)

// target is what this host knows of one target.
type target struct {
	info    blackboard.Target
	figures placement.TargetState
	health  health.State
	// cold is what this host believes of the target's being cold, quota what it may send
	// there meanwhile.
	cold  coldstart.Estimate
	quota quota
	// restUntil is the end of the time in which the target gets no call.
	restUntil time.Time
	rests     int
	// replacedRest is the last rest after an answer that the address is another's; 0 after a
	// good answer.
	replacedRest time.Duration
	// probing is closed when the answer to a probe on its way is there; nil if
	// there is none.
	probing chan struct{}
}

func newTarget(info blackboard.Target, zone string) *target {
	t := &target{info: info}
	t.update(info, zone)
	return t
}

// update takes in what the platform lists.
func (t *target) update(info blackboard.Target, zone string) {
	info.Leaving = info.Leaving || t.info.Leaving
	t.info = info
	t.figures.Slots = max(info.Slots, 1)
	t.figures.OtherZone = info.Zone != zone
}

// open reports whether the target takes calls.
func (t *target) open(now time.Time) bool {
	return !t.info.Leaving && !t.info.Evacuated && !now.Before(t.restUntil) && !t.health.Ejected(now) &&
		(!t.health.OnTrial() || t.figures.InFlight == 0)
}

// known reports whether the target told something of late and owes no answer: one
// that lets a probe wait is slow or full.
func (t *target) known(now time.Time) bool { return t.probing == nil && t.figures.Known(now) }

// rest leaves the target alone for a while.
func (t *target) rest(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.restUntil) {
		t.restUntil = until
	}
}

// unreachable leaves a target that can not be reached alone, for longer each time,
// and reports whether it could be reached before.
func (t *target) unreachable(now time.Time) bool {
	t.rest(now, min(firstRest<<min(t.rests, 8), maxRest))
	t.rests++
	return t.rests == 1
}

// reached notes that the target answers, and reports whether it did not before.
func (t *target) reached() bool {
	was := t.rests > 0
	t.rests, t.replacedRest = 0, 0
	return was
}

// replaced leaves a target alone whose address answered that it is another's, for longer
// each time, and reports whether that is news.
//
// Such an answer needs no echo of the request, and garbled bytes read as one. If it is true the
// record soon says so, which lasts; until then the other target refuses what is sent there, so that
// trying again after a while costs one attempt and runs nothing.
func (t *target) replaced(now time.Time) bool {
	first := t.replacedRest == 0
	t.replacedRest = min(max(2*t.replacedRest, firstReplacedRest), maxReplacedRest)
	t.rest(now, t.replacedRest)
	return first
}

// end takes in how a call ended, and returns what that changed in what this host
// believes of the target, for the log.
func (t *target) end(now time.Time, r pick.Report) (news string) {
	t.figures.InFlight--
	switch r.Class {
	case pick.OK:
		if t.reached() {
			return newsReached
		}
	case pick.Shed:
		t.rest(now, shedRest)
	case pick.NotSent:
		if t.unreachable(now) {
			return newsUnreachable
		}
	case pick.Leaving:
		t.info.Leaving = true
		return newsLeaving
	case pick.Replaced:
		if t.replaced(now) {
			return newsLeaving
		}
	}
	return ""
}

// What a host may come to believe of a target by itself.
const (
	newsReached     = "target reached again"
	newsUnreachable = "target can not be reached"
	newsLeaving     = "target leaving by its own answer"
	newsEjected     = "target left out for its failures"
	newsCold        = "target cold by its own answer"
)

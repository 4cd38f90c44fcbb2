// Package suspicion decides which requests are held to crash the targets that
// run them. It is pure: no goroutines, no clock, no messages; package quarantine
// feeds it with what the hosts saw.
//
// A connection that breaks off while a request runs makes the request a suspect.
// A suspect is tried alone: at most one run at a time over all hosts, on a
// target that runs nothing else. Any whole answer proves innocence. A suspect
// whose connections broke off at two targets is quarantined: held for a moment,
// and then refused, unless other targets were lost at the same time that no
// request can have crashed.
package suspicion

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Digest identifies a request; equal requests have equal digests.
type Digest = uint64

// State is what is held of a request.
type State uint8

const (
	// Clean requests run like any other.
	Clean State = iota
	// Suspect requests run alone.
	Suspect
	// Quarantined requests are refused, once the quarantine has settled.
	Quarantined
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Clean:
		return "clean"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "invalid"
	}
}

// Limits are the times and sizes of the decisions.
type Limits struct {
	// LossWindow is the time within which losses are taken for one event: of one
	// target, as many broken connections of one crash; of several targets, as a
	// failure of zones or hosts that no request caused.
	LossWindow time.Duration
	// MassLossTargets is the number of targets lost in the same wave that no quarantined
	// request ran on, from which on a request is not held to be the cause.
	MassLossTargets int
	// SettleTime is how long a request is held, neither run nor refused, before its
	// quarantine is decided on; it is less than Wave.
	SettleTime time.Duration
	// SuspectTTL is how long a suspect that is not sent again stays one.
	SuspectTTL time.Duration
	// ReleaseAfterIdle is how long a quarantined request must not be sent until it is
	// tried alone again.
	ReleaseAfterIdle time.Duration
	// MaxQuarantine is how long a request that is sent on and on is refused
	// until it is tried alone again.
	MaxQuarantine time.Duration
	// TrialTimeout is how long one trial keeps others away, should its end never
	// be heard of. It has to be longer than the calls that matter.
	TrialTimeout time.Duration
	// MaxEntries bounds the requests remembered; the longest unchanged suspects
	// are forgotten first.
	MaxEntries int
}

// DefaultLimits returns the limits in common use.
func DefaultLimits() Limits {
	return Limits{
		LossWindow:          time.Second,
		MassLossTargets:      1,
		SettleTime:        250 * time.Millisecond,
		SuspectTTL:    10 * time.Minute,
		ReleaseAfterIdle:      10 * time.Minute,
		MaxQuarantine: 24 * time.Hour,
		TrialTimeout:      time.Minute,
		MaxEntries:    4096,
	}
}

// Loss is one target lost while it ran a request.
type Loss struct {
	Target ports.RunID
	At     time.Time
	// Trial tells that the request ran alone.
	Trial bool
}

// BrokenRun is one run that broke off.
type BrokenRun struct {
	Digest Digest
	Loss
	// KnownGood tells that an earlier run of the request ended with a whole
	// answer, as far as the host remembers.
	KnownGood bool
}

// entry is what is remembered of one request.
type entry struct {
	state  State
	losses []Loss
	// since is when the present state began, sent when the request last came.
	since time.Time
	sent  time.Time
	trial trial
	// good tells that some host remembers a whole answer to this request.
	good bool
	// settled tells that a quarantine has been decided on.
	settled bool
	// excused is when a quarantine was last taken back. Losses of other targets
	// from before then excuse the request no more: otherwise it could take one
	// target after the other for as long as the wave lasts.
	excused time.Time
}

// trial is the permission to run a suspect.
type trial struct {
	holder ports.HostID
	until  time.Time
}

func (e *entry) setState(s State, now time.Time) {
	if e.state == s {
		return
	}
	e.state = s
	e.since = now
	e.settled = false
}

// blamed reports whether the request was lost with two targets, one of which ran it
// alone, or with as many as Need says and was never seen to be answered. One that
// several targets ran at the same moment and that was answered before is more likely
// a common request on several failing targets: it gets its trial.
func (b *Tracker) blamed(e *entry) bool {
	if e.tried() {
		return len(e.losses) >= leastLosses
	}
	return len(e.losses) >= b.need && !e.good
}

// add remembers a loss, and reports whether it is new evidence: not one that is
// already remembered.
func (e *entry) add(l Loss, wave time.Duration) bool {
	for i, old := range e.losses {
		if old.Target == l.Target && apart(old.At, l.At) < wave {
			e.losses[i].Trial = old.Trial || l.Trial
			return l.Trial && !old.Trial
		}
	}
	if len(e.losses) == maxLosses {
		return false
	}
	e.losses = append(e.losses, l)
	return true
}

// maxLosses bounds the losses kept for one request; two decide.
const maxLosses = 8

func (e *entry) lost(id ports.RunID) bool {
	for _, l := range e.losses {
		if l.Target == id {
			return true
		}
	}
	return false
}

// untried returns how many of these losses beyond the first came without a trial.
func (e *entry) untried(counts func(Loss) bool) int {
	n := 0
	for _, l := range e.losses {
		if !l.Trial && counts(l) {
			n++
		}
	}
	return max(0, n-1)
}

func (e *entry) tried() bool {
	for _, l := range e.losses {
		if l.Trial {
			return true
		}
	}
	return false
}

func apart(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

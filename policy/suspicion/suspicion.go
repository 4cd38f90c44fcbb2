// Package suspicion decides which requests are considered to crash the targets that run them. It
// is pure: no goroutines, no clock, no messages; package quarantine feeds it with the
// observations of the hosts.
//
// A connection that breaks while a request runs makes the request a suspect. A suspect is tried
// in isolation: at most one run at a time over all hosts, on a target that runs nothing else. Any
// complete response clears it. A suspect whose connections broke at two targets is quarantined:
// held for a moment and then refused, unless other targets were lost at the same time that no
// request can have crashed.
package suspicion

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Digest identifies a request; equal requests have equal digests.
type Digest = uint64

// State is the verdict on a request.
type State uint8

const (
	// Clean requests run like any other.
	Clean State = iota
	// Suspect requests run in isolation.
	Suspect
	// Quarantined requests are refused, once the quarantine is confirmed.
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

// Limits are the durations and sizes that decisions depend on.
type Limits struct {
	// LossWindow is the time within which losses count as one event: of one target, as many
	// connections broken by one crash; of several targets, as a failure of zones or hosts that no
	// request caused.
	LossWindow time.Duration
	// MassLossTargets is the number of targets lost in the same window without running a
	// quarantined request from which on a request is not considered the cause.
	MassLossTargets int
	// SettleTime is how long a request is held, neither run nor refused, before its quarantine is
	// confirmed or dropped; it is less than LossWindow.
	SettleTime time.Duration
	// VerifyTimeout is how long a request is held at most because a target that it lost is being
	// verified; it is less than LossWindow.
	VerifyTimeout time.Duration
	// SuspectTTL is how long a request stays a suspect after it was last sent.
	SuspectTTL time.Duration
	// ReleaseAfterIdle is how long a quarantined request must not be sent until it is tried in
	// isolation again.
	ReleaseAfterIdle time.Duration
	// MaxQuarantine is how long a request that keeps being sent is refused until it is tried in
	// isolation again.
	MaxQuarantine time.Duration
	// UncertainRefusals is how long a request of uncertain identity is refused each time that it is
	// quarantined, until it is tried in isolation again; afterwards MaxQuarantine holds. Requests
	// that are innocent may be refused with it.
	UncertainRefusals [3]time.Duration
	// TrialTimeout is how long a trial excludes others if its end is never reported. It has to
	// exceed the duration of the calls that matter.
	TrialTimeout time.Duration
	// ProofGrace is the least time from a loss to a request whose answer shows that the target is
	// alive, ProofWindow the longest one if the request's connection is newer than the loss and the
	// target's incarnation unknown; with one it is LossWindow. See Proof.
	ProofGrace, ProofWindow time.Duration
	// RestartTime is less than a target takes to accept connections after it has crashed.
	RestartTime time.Duration
	// MaxWithdrawn is how many losses of a request within WithdrawalMemory are withdrawn, without a
	// complete response, by answers of targets that may have been restarted.
	MaxWithdrawn     int
	WithdrawalMemory time.Duration
	// MaxEntries limits the number of requests tracked; the suspects that were sent the longest
	// ago are dropped first.
	MaxEntries int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		LossWindow:       time.Second,
		MassLossTargets:  1,
		SettleTime:       250 * time.Millisecond,
		VerifyTimeout:    900 * time.Millisecond, // three probes of 250 ms after ProofGrace
		SuspectTTL:       10 * time.Minute,
		ReleaseAfterIdle: 10 * time.Minute,
		MaxQuarantine:    24 * time.Hour,
		// The first is the time in which a host must know of a loss. A request may crash three targets and
		// reach three more after that.
		UncertainRefusals: [3]time.Duration{3 * time.Second, 3 * time.Second, 10 * time.Minute},
		TrialTimeout:      time.Minute,
		ProofGrace:        100 * time.Millisecond, // an exiting process closes its connections within some ms
		RestartTime:       150 * time.Millisecond, // supervisors wait 100 ms before they start a process
		ProofWindow:       400 * time.Millisecond, // a crashed target is unavailable for seconds
		MaxWithdrawn:      1,                      // enough to lift a quarantine; more would clear requests that crash targets which restart fast
		WithdrawalMemory:  10 * time.Second,       // hosts know a restart after 3 s
		MaxEntries:        4096,
	}
}

// Loss is the loss of one target while it ran a request.
type Loss struct {
	Target ports.RunID
	At     time.Time
	// Trial is set if the request ran in isolation.
	Trial bool
	// Own is set if this host observed the loss.
	Own bool
	// Pending is set while the host that observed the loss verifies whether the target is alive.
	Pending bool
	// Sent is what had been sent of a body that isn't held in memory.
	Sent Part
}

// Part is the first part of the content of a request.
type Part struct {
	Bytes int64  `msgpack:"n"`
	Hash  uint64 `msgpack:"h"`
}

// BrokenRun is a run whose connection broke.
type BrokenRun struct {
	Digest Digest
	// Group is the digest of the request's group; 0 if it has none.
	Group Digest
	Loss
	// KnownGood is set if the host remembers a complete response to an earlier run of the
	// request.
	KnownGood bool
	// Uncertain is set if requests of other content may have the same digest, because the body
	// isn't held in memory.
	Uncertain bool
}

// entry is the state of one request.
type entry struct {
	state  State
	losses []Loss
	// since is when the current state began, sent when the request last arrived.
	since time.Time
	sent  time.Time
	trial trial
	// answered is set if some host remembers a complete response to this request.
	answered bool
	// settled is set once a quarantine is confirmed.
	settled bool
	// excusedAt is when a quarantine was last dropped. Earlier losses of other targets do not
	// excuse the request again: otherwise it could crash one target after the other for the
	// length of the loss window.
	excusedAt time.Time
	// excuses counts how often that happened, on any host. It includes the present accusation if
	// excusedElsewhere is set.
	excuses          int
	excusedElsewhere bool
	// uncertain is BrokenRun.Uncertain of any run.
	uncertain bool
	// group is BrokenRun.Group, isGroup is set for a group itself.
	group   Digest
	isGroup bool
	// probation is how long a group is tracked for losses that may be chance; 0 if it was found otherwise.
	probation time.Duration
	// good holds the requests of a group that were answered while it was tracked.
	good map[Digest]bool
	// lost counts all losses, also those that were withdrawn.
	lost int
	// releases counts how often a quarantine ended by its duration.
	releases int
}

// trial is the permission to run a suspect in isolation.
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

// blamed reports whether the losses are enough to blame the request: two targets, one of which
// ran it in isolation, or as many as SetMinLosses says without a complete response ever. A
// request that several targets ran at once and that was answered before is more likely a common
// request on several failing targets, so it gets a trial first. So does a group of requests.
func (b *Tracker) blamed(e *entry) bool {
	if e.trialed() || e.isGroup {
		return e.trialed() && len(e.losses) >= defaultMinLosses
	}
	return len(e.losses) >= b.minLosses && !e.answered
}

// stillBlamed is like blamed for a request some of whose losses may have been withdrawn: if it was
// excused, there has to be a loss since.
func (b *Tracker) stillBlamed(e *entry) bool {
	return b.blamed(e) && slices.ContainsFunc(e.losses, func(l Loss) bool { return l.At.After(e.excusedAt) })
}

// add records a loss and reports whether it is new evidence.
func (e *entry) add(l Loss, window time.Duration) bool {
	for i, old := range e.losses {
		if old.Target == l.Target && absDiff(old.At, l.At) < window {
			e.losses[i].Trial = old.Trial || l.Trial
			e.losses[i].Own = old.Own || l.Own
			e.losses[i].Pending = old.Pending || l.Pending
			return l.Trial && !old.Trial
		}
	}
	if len(e.losses) == maxLosses && !e.dropOldest(l.At) {
		return false
	}
	e.losses = append(e.losses, l)
	e.lost++
	return true
}

// maxLosses limits the losses kept per request; two are decisive, and the newest ones count.
const maxLosses = 8

// dropOldest makes room for a loss at the given time, and reports whether it is newer than another one.
func (e *entry) dropOldest(at time.Time) bool {
	oldest := 0
	for i, l := range e.losses {
		if l.At.Before(e.losses[oldest].At) {
			oldest = i
		}
	}
	if !e.losses[oldest].At.Before(at) {
		return false
	}
	e.losses = slices.Delete(e.losses, oldest, oldest+1)
	return true
}

func (e *entry) lostWith(id ports.RunID) bool {
	for _, l := range e.losses {
		if l.Target == id {
			return true
		}
	}
	return false
}

// untrialed returns the number of losses outside of trials that satisfy counts, less one but not
// below 0.
func (e *entry) untrialed(counts func(Loss) bool) int {
	n := 0
	for _, l := range e.losses {
		if !l.Trial && counts(l) {
			n++
		}
	}
	return max(0, n-1)
}

func (e *entry) trialed() bool {
	for _, l := range e.losses {
		if l.Trial {
			return true
		}
	}
	return false
}

func absDiff(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

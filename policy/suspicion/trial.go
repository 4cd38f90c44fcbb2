package suspicion

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Answer tells a host whether it may run a request.
type Answer uint8

const (
	// Free requests are not suspected: run them like any other.
	Free Answer = iota + 1
	// Alone gives the one permission to try a suspect.
	Alone
	// Busy means that another trial is under way, or that its verdict has yet
	// to settle; ask again.
	Busy
	// Refused requests are quarantined.
	Refused
)

// Ask asks to run a request. One host keeps the trials of a request, so that
// two hosts do not lose two targets to it at the same moment.
func (b *Tracker) Ask(now time.Time, d Digest, holder ports.HostID) Answer {
	switch b.Sent(now, d) {
	case Clean:
		return Free
	case Quarantined:
		if b.Settled(now, d) {
			return Refused
		}
		return Busy
	}
	e := b.entries[d]
	if e.trial.holder != "" && now.Before(e.trial.until) {
		return Busy
	}
	e.trial = trial{holder: holder, until: now.Add(b.limits.TrialFor)}
	return Alone
}

// EndTrial gives the permission back. The request may be tried again unless
// what was seen meanwhile speaks against it.
func (b *Tracker) EndTrial(d Digest, holder ports.HostID) {
	if e := b.entries[d]; e != nil && e.trial.holder == holder {
		e.trial = trial{}
	}
}

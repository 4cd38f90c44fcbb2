package suspicion

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Admission tells a host whether it may run a request.
type Admission uint8

const (
	// Unrestricted requests are not suspected: run them like any other.
	Unrestricted Admission = iota + 1
	// Exclusive gives the one permission to try a suspect.
	Exclusive
	// Busy means that another trial is under way, or that its verdict has yet
	// to settle; ask again.
	Busy
	// Refused requests are quarantined.
	Refused
)

// Admit asks to run a request. One host keeps the trials of a request, so that
// two hosts do not lose two targets to it at the same moment.
func (b *Tracker) Admit(now time.Time, d Digest, holder ports.HostID) Admission {
	switch b.RecordSent(now, d) {
	case Clean:
		return Unrestricted
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
	e.trial = trial{holder: holder, until: now.Add(b.limits.TrialTimeout)}
	return Exclusive
}

// EndTrial gives the permission back. The request may be tried again unless
// what was seen meanwhile speaks against it.
func (b *Tracker) EndTrial(d Digest, holder ports.HostID) {
	if e := b.entries[d]; e != nil && e.trial.holder == holder {
		e.trial = trial{}
	}
}

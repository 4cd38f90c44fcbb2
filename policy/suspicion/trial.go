package suspicion

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Admission tells a host whether it may run a request.
type Admission uint8

const (
	// Unrestricted requests are not suspected and run like any other.
	Unrestricted Admission = iota + 1
	// Exclusive grants the only permission to run a suspect in isolation.
	Exclusive
	// Busy means that another trial is running, or that the quarantine is not confirmed yet; ask
	// again.
	Busy
	// Refused requests are quarantined.
	Refused
)

// Admit asks for permission to run a request. All trials of a request go through one host's
// tracker, so that no two hosts lose targets to it at the same time.
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

// EndTrial returns the permission. The request may be tried again unless observations in the
// meantime blame it.
func (b *Tracker) EndTrial(d Digest, holder ports.HostID) {
	if e := b.entries[d]; e != nil && e.trial.holder == holder {
		e.trial = trial{}
	}
}

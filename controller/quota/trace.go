package quota

import (
	"fmt"
	"strings"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// cause tells, in the log, why a host didn't decide on a request.
type cause string

const (
	// causeNoReply means that the host didn't reply to this request, causeSilent that it
	// didn't reply to an earlier one and is in backoff.
	causeNoReply cause = "no-reply"
	causeSilent  cause = "backoff"
	// causeDeclined means that the host said a moment ago that it can't own parts.
	causeDeclined cause = "declined"
	// causeOtherOwner means that the host considers another host the owner.
	causeOtherOwner cause = "other-owner"
	// causeIncomplete means that the host doesn't know all hosts yet.
	causeIncomplete cause = "hosts-incomplete"
	// causeCutOff means that the host doesn't reach most other hosts, or isn't among those
	// that can own the part.
	causeCutOff cause = "cut-off"
	// causeUnknownLimit means that the host's configuration doesn't have the quota yet.
	causeUnknownLimit cause = "unknown-limit"
)

// trace lists the hosts that were considered for a decision and what came of each.
type trace struct {
	steps []string
	// starting is set if one of them doesn't know all hosts yet.
	starting bool
}

// asked records a host that didn't decide, after the given time.
func (t *trace) asked(id ports.HostID, r takeReply, took time.Duration) {
	t.starting = t.starting || r.Cause == causeIncomplete
	why := string(r.Cause)
	if r.Owner != "" {
		why += "=" + string(r.Owner)
	}
	t.steps = append(t.steps, fmt.Sprintf("%s:%s:%s", id, why, took.Round(time.Millisecond)))
}

// skipped records a host that wasn't asked because of its last known status.
func (t *trace) skipped(id ports.HostID, a hostStatus) {
	why := causeSilent
	if a.declined() {
		why = causeDeclined
		t.starting = true
	}
	t.steps = append(t.steps, fmt.Sprintf("%s:%s:%s", id, why, time.Since(a.at).Round(time.Millisecond)))
}

// String returns the steps in order.
func (t trace) String() string { return strings.Join(t.steps, ",") }

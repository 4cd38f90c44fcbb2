// Package coldstart limits how many calls a host sends to targets that have just started.
//
// When a zone comes back after an evacuation or a power loss, many of its targets are cold at
// once. Being idle, they look best to every host at the same moment, but each bears only a few
// requests a second from all hosts together and fails well above that. Estimate tracks whether
// one target is cold, and Quota is one host's share of the calls that a cold target bears.
package coldstart

import "time"

// Source says what an Estimate is based on.
type Source uint8

const (
	// Unknown means that there is no information on whether the target is cold.
	Unknown Source = iota
	// Record is the target's entry in the platform's record, which is a few seconds old.
	Record
	// ZoneReturn is the end of an evacuation of the target's zone: the target may have turned
	// cold in the meantime without a change of its entry.
	ZoneReturn
	// HealthAnswer is the target's own response to a health check.
	HealthAnswer
)

// String returns the name of the source in logs.
func (s Source) String() string {
	switch s {
	case Record:
		return "record"
	case ZoneReturn:
		return "zone-returned"
	case HealthAnswer:
		return "answer"
	default:
		return "unheard"
	}
}

// reportTTL is how long a target's own report that it is warm counts, from when the host asked for
// it. A target that crashes and restarts, or turns cold in place, is back before the record shows
// it, and each host goes on sending to it until its report is too old. Later calls are taken from
// the host's quota, whether the target is warm or not: one call for each report would add up to
// one for each host.
const reportTTL = 250 * time.Millisecond

// Estimate is the time until which a target is considered cold, and the source of that. The zero
// value means that nothing is known.
type Estimate struct {
	ColdUntil time.Time
	Source    Source
	// askedAt is when the host asked for the target's last report of whether it is cold, and calls
	// the number of calls sent on the strength of that report.
	askedAt time.Time
	calls   int
}

// Cold reports whether the target is considered cold.
func (b Estimate) Cold(now time.Time) bool { return now.Before(b.ColdUntil) }

// Warm reports whether the target recently reported that it is warm and nothing contradicts it
// since.
//
// Without this check, hosts that have used up their probes would send a target that restarted
// cold the calls of a warm one.
func (b Estimate) Warm(now time.Time) bool {
	return !b.Cold(now) && !b.askedAt.IsZero() && now.Sub(b.askedAt) < reportTTL
}

// MarkUsed records that a call is sent to a target considered warm.
func (b *Estimate) MarkUsed() { b.calls++ }

// Calls returns the number of calls sent since the target's last report.
func (b Estimate) Calls() int { return b.calls }

// ReportAge returns the age of the target's last report, or 0 if there was none.
func (b Estimate) ReportAge(now time.Time) time.Duration {
	if b.askedAt.IsZero() {
		return 0
	}
	return now.Sub(b.askedAt)
}

// Basis returns the source for treating a target as not warm: Unknown if its last report that it
// is warm is too old.
func (b Estimate) Basis(now time.Time) Source {
	if !b.Cold(now) {
		return Unknown
	}
	return b.Source
}

// Confirmed reports whether the estimate is the target's own report, so that probing it again
// would add nothing.
func (b Estimate) Confirmed() bool { return b.Source == HealthAnswer }

// Infer records an indication, other than the target's own report, that it is cold until a time.
// It never shortens the estimate.
func (b *Estimate) Infer(now, until time.Time, s Source) {
	if now.Before(until) && until.After(b.ColdUntil) {
		*b = Estimate{ColdUntil: until, Source: s, askedAt: b.askedAt, calls: b.calls}
	}
}

// Observe records the target's own report, asked for at a time, of how much longer it is cold, 0 if
// it is warm. A report that took long to arrive may be that old.
func (b *Estimate) Observe(asked, now time.Time, left time.Duration) {
	*b = Estimate{ColdUntil: now.Add(left), Source: HealthAnswer, askedAt: asked}
}

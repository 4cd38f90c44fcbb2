package suspicion

import (
	"slices"
	"time"
)

// A request whose body isn't held in memory is known by its first part. Others that begin alike have the
// same digest, so that its identity is uncertain: a complete response may be to another request, and a
// refusal may concern one that is innocent. Such requests run in isolation where others would be cleared or
// refused.

// ClearedBy reports whether a complete response shows that a request is innocent: as much had been sent of
// the answered one, in the parts given, as of those that lost their targets, with the same content.
func (b *Tracker) ClearedBy(d Digest, parts []Part) bool {
	e := b.entries[d]
	if e == nil || !e.uncertain {
		return true
	}
	return !slices.ContainsFunc(e.losses, func(l Loss) bool {
		return l.Sent.Bytes > 0 && !slices.Contains(parts, l.Sent)
	})
}

// expired reports whether a suspect is forgotten. One of uncertain identity is, however often requests with
// its digest are sent, some time after its last loss. It has run alone for as long since its last release, or
// the one that crashes targets would be forgotten while it was refused.
func (b *Tracker) expired(now time.Time, e *entry) bool {
	if e.onProbation() {
		return now.Sub(e.since) >= e.probation
	}
	last := e.sent
	if e.uncertain {
		last = e.lastLoss()
	}
	if e.uncertain && e.since.After(last) {
		last = e.since
	}
	return now.Sub(last) >= b.limits.SuspectTTL
}

// servedOut reports whether a request that keeps being sent has been refused for long enough.
func (b *Tracker) servedOut(now time.Time, e *entry) bool {
	n := max(e.releases, e.lost-fewLosses)
	if e.isGroup {
		return now.Sub(e.lastLoss()) >= groupRefusal(n)
	}
	if e.uncertain && n < len(b.limits.UncertainRefusals) {
		return now.Sub(e.lastLoss()) >= b.limits.UncertainRefusals[n]
	}
	return now.Sub(e.since) >= b.limits.MaxQuarantine
}

// fewLosses is the number of losses of a request up to which only its releases count for how long it is refused.
// Beyond it was excused, or its losses withdrawn, so often that another short refusal would be too many.
const fewLosses = 4

// lastLoss returns when the last loss was, or when the state began if all were withdrawn.
func (e *entry) lastLoss() time.Time {
	if len(e.losses) == 0 {
		return e.since
	}
	last := e.losses[0].At
	for _, l := range e.losses[1:] {
		if l.At.After(last) {
			last = l.At
		}
	}
	return last
}

// mergeReleases adopts how often another host has released a request, and reports whether that host has not
// released it as often as this one.
func (b *Tracker) mergeReleases(now time.Time, e *entry, releases int) (behind bool) {
	if releases > e.releases {
		if e.state == Quarantined {
			b.release(e, now)
		}
		e.releases = releases
	}
	return releases < e.releases
}

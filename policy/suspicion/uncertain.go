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
// its digest are sent, some time after its last loss.
func (b *Tracker) expired(now time.Time, e *entry) bool {
	last := e.sent
	if e.uncertain {
		last = e.since
		for _, l := range e.losses {
			last = latest(last, l.At)
		}
	}
	return now.Sub(last) >= b.limits.SuspectTTL
}

// maxQuarantine returns how long a request that keeps being sent is refused.
func (b *Tracker) maxQuarantine(e *entry) time.Duration {
	if e.uncertain && e.releases < len(b.limits.UncertainRefusals) {
		return b.limits.UncertainRefusals[e.releases]
	}
	return b.limits.MaxQuarantine
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package suspicion

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Requests that differ only in what a caller can change at no cost, such as its credential, form a group. A
// caller that does so sends a new request each time, of which nothing is known: it would crash targets
// without end. Once several requests of a group have crashed targets, all of it is of uncertain identity: its
// requests run in isolation, and are refused for a while after each further loss. Those that are known to be
// well are left alone.

// ID identifies a request.
type ID struct {
	// Request is the digest of the request, Group that of its group; 0 if it has none.
	Request Digest `msgpack:"r"`
	Group   Digest `msgpack:"g"`
}

const (
	// groupQuarantined is the number of quarantined requests of a group from which on it is tracked. Each has
	// lost two targets that nothing else explains.
	groupQuarantined = 2
	// groupLosses is the number of requests of a group that lost a target, one after the other, from which
	// on it is tracked. Requests that may not be repeated are lost once each, so that none of them is
	// quarantined.
	groupLosses = 3
	// groupAccused is the same for requests that lost two targets, or one in isolation. Each may have been excused
	// by the losses of others of its group.
	groupAccused = 2
	// minProbation and maxProbation bound how long a group is tracked for such losses alone, which may be chance:
	// twice the longest time between two of them, so that a request that is sent at that pace runs
	// in isolation meanwhile, and a page under which targets fail is isolated for a minute at most.
	minProbation = 10 * time.Second
	maxProbation = time.Minute
	// minGroupRefusal and maxGroupRefusal bound how long a group is refused after a loss. It doubles each time.
	// Most of its requests may be innocent, so that it is not refused for a day as others are.
	minGroupRefusal   = time.Minute
	maxGroupDoublings = 4
	maxGroupRefusal   = 10 * time.Minute
	// maxGood bounds the requests of a group that are known to be well. Others are known to the host alone that
	// answered them.
	maxGood = 4096
)

// Subject returns the digest whose state decides on a request: that of its group, if this is tracked, unless
// the request itself is quarantined or this host remembers a complete response to it.
func (b *Tracker) Subject(now time.Time, id ID, knownGood bool) Digest {
	if id.Group == 0 || knownGood || b.State(now, id.Group) == Clean || b.State(now, id.Request) == Quarantined {
		return id.Request
	}
	if b.entries[id.Group].good[id.Request] {
		return id.Request
	}
	return id.Group
}

// RecordGood records that a request was answered, and reports whether that is new and its group is tracked.
func (b *Tracker) RecordGood(now time.Time, id ID) bool {
	return b.State(now, id.Group) != Clean && b.entries[id.Group].addGood(id.Request)
}

// addGood reports whether a request was added to those that were answered.
func (e *entry) addGood(d Digest) bool {
	if e.good[d] || len(e.good) >= maxGood {
		return false
	}
	if e.good == nil {
		e.good = make(map[Digest]bool)
	}
	e.good[d] = true
	return true
}

// goodRequests returns the requests of a group that were answered.
func (e *entry) goodRequests() []Digest { return slices.Collect(maps.Keys(e.good)) }

// Tracked returns the records of a request and of its group, as far as they are tracked.
func (b *Tracker) Tracked(now time.Time, id ID) (out []Record) {
	for _, d := range [...]Digest{id.Request, id.Group} {
		if r, ok := b.Record(now, d); ok {
			out = append(out, r)
		}
	}
	return out
}

// recordGroupLoss counts a loss of a request against its group. A request that was answered before doesn't
// tell anything about the others.
func (b *Tracker) recordGroupLoss(now time.Time, e *entry, l Loss) {
	if e.group == 0 || e.answered {
		return
	}
	if b.State(now, e.group) == Clean {
		b.trackGroup(now, e.group)
		return
	}
	g := b.entries[e.group]
	if g.add(l, b.limits.LossWindow) && b.blamed(g) {
		b.accuse(e.group, g, now)
	}
}

// trackGroup begins to track a group, or ends its probation, if enough of its requests have crashed targets.
func (b *Tracker) trackGroup(now time.Time, d Digest) {
	g := b.entries[d]
	if d == 0 || g != nil && !g.onProbation() {
		return
	}
	quarantined, losses := b.groupEvidence(d)
	if quarantined >= groupQuarantined {
		g = b.newGroup(now, d, losses)
		g.losses[0].Trial = true // a confirmed quarantine is worth a loss in isolation
		b.accuse(d, g, now)
		g.settled = true
		return
	}
	n, accused, longest := countApart(losses, b.limits.VerifyTimeout)
	if g == nil && (n >= groupLosses || accused >= groupAccused) {
		g = b.newGroup(now, d, losses)
		g.probation = min(max(2*longest, minProbation), maxProbation)
	}
}

// lastLoss is the last loss of one request of a group.
type lastLoss struct {
	Loss
	// accused is set if the request lost two targets, or one in isolation.
	accused bool
}

// groupEvidence returns how many requests of a group are quarantined for good, and the last loss of each one
// that has lost a target, by time.
func (b *Tracker) groupEvidence(d Digest) (quarantined int, losses []lastLoss) {
	for _, e := range b.entries {
		if e.group != d || e.answered || len(e.losses) == 0 {
			continue
		}
		l := e.losses[len(e.losses)-1]
		if !l.At.After(b.groupEnded[d]) {
			continue
		}
		losses = append(losses, lastLoss{Loss: l, accused: e.trialed() || len(e.losses) >= defaultMinLosses})
		if e.state == Quarantined && e.settled {
			quarantined++
		}
	}
	slices.SortFunc(losses, func(x, y lastLoss) int { return x.At.Compare(y.At) })
	return quarantined, losses
}

// countApart returns how many losses are at least the given time apart, and at different targets, how many of them
// are of accused requests, and the longest time between two of them. Targets that fail together are one event.
func countApart(losses []lastLoss, least time.Duration) (n, accused int, longest time.Duration) {
	var last time.Time
	seen := make(map[ports.RunID]bool)
	for _, l := range losses {
		gap := l.At.Sub(last)
		if seen[l.Target] || gap < least {
			continue
		}
		if n > 0 {
			longest = max(longest, gap)
		}
		seen[l.Target], last = true, l.At
		n++
		if l.accused {
			accused++
		}
	}
	return n, accused, longest
}

// newGroup tracks a group with the last of its losses.
func (b *Tracker) newGroup(now time.Time, d Digest, losses []lastLoss) *entry {
	g := b.ensure(d, now)
	g.isGroup, g.uncertain = true, true
	g.losses = nil
	for _, l := range losses[max(0, len(losses)-groupLosses):] {
		l.Trial, l.Sent = false, Part{}
		g.losses = append(g.losses, l.Loss)
	}
	return g
}

// groupRefusal returns how long the requests of a group are refused after a loss, if the group was released that
// often before.
func groupRefusal(releases int) time.Duration {
	return min(minGroupRefusal<<min(releases, maxGroupDoublings), maxGroupRefusal)
}

// onProbation reports whether an entry is a group that is tracked for losses that may be chance.
func (e *entry) onProbation() bool {
	return e.probation > 0 && e.releases == 0 && !e.trialed()
}

// probationOver reports whether a record of another host is of a group whose probation is over here.
func (b *Tracker) probationOver(now time.Time, r Record) bool {
	if !r.onProbation() || b.entries[r.Digest] != nil {
		return false
	}
	return r.Age >= r.Probation || !now.Add(-r.Age).After(b.groupEnded[r.Digest])
}

// onProbation is entry.onProbation of the sender.
func (r Record) onProbation() bool {
	return r.Probation > 0 && r.Releases == 0 && !slices.ContainsFunc(r.Losses, func(l LossRecord) bool { return l.Trial })
}

// evidentGroups returns the groups of which several requests have lost a target. Hosts tell each other of these
// requests too, where each host learns of all suspects.
func (b *Tracker) evidentGroups() map[Digest]bool {
	if b.minLosses > defaultMinLosses {
		return nil
	}
	seen := make(map[Digest]bool)
	for _, e := range b.entries {
		if e.group == 0 || e.answered || len(e.losses) == 0 {
			continue
		}
		_, several := seen[e.group]
		seen[e.group] = several
	}
	return seen
}

package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Parameters of the choice among targets.
const (
	// overdueFactor times the median latency makes an attempt overdue: its target is treated as a
	// straggler while the attempt lasts.
	overdueFactor = 6
	// minOverdue keeps network delays from marking the targets of very fast services as
	// stragglers.
	minOverdue = 2 * time.Millisecond
	// maxTurnaround is the longest plausible delay of a release and grant; longer samples are
	// ignored.
	maxTurnaround = 10 * time.Millisecond
	// minSamples is the number of latencies needed before statistics are used.
	minSamples = 20
	// minColdShare is the share of its slots that a target starts with.
	minColdShare = 0.1
	// maxColdTargets is the share of cold targets above which cold starts are ignored: when most
	// targets are new, limiting them only delays the calls.
	maxColdTargets = 0.5
)

// dispatch grants slots to waiting requests until it runs out of one or the other.
func (b *Coordinator) dispatch(now time.Time) {
	if b.queued > 0 && b.capacity == 0 {
		b.declineAll()
	}
	b.checkReserved()
	b.saturated = false
	for _, h := range b.hosts {
		h.skipped = false
	}
	for b.queued > 0 {
		h := b.next()
		if h == nil {
			return
		}
		h.skipped = !b.serve(now, h)
	}
}

// next returns the host whose oldest request is due first, except for hosts that were skipped
// because no target suits their requests.
func (b *Coordinator) next() *host {
	var first *host
	for _, h := range b.hosts {
		if h.queue.len() == 0 || h.skipped {
			continue
		}
		if first == nil || h.queue.front().tag.Before(first.queue.front().tag) {
			first = h
		}
	}
	return first
}

// Parameters of the fair queuing between hosts.
const (
	// fairFactor times an even share of the capacity is served in order of arrival; requests of a
	// host beyond that are queued behind those of other hosts.
	fairFactor = 2
	// fairBurst is the number of requests that may arrive at once before fairFactor applies.
	fairBurst = 16
)

// tag returns the start tag of a request, the time at which it is due. Requests are served in
// order of arrival, which has the shortest tail latency, as long as each host stays within a
// multiple of its even share; a host that floods the coordinator delays only its own requests.
func (b *Coordinator) tag(now time.Time, h *host) time.Time {
	if b.capacity == 0 || b.latencies.Count() < minSamples {
		return now
	}
	every := b.latencies.Mean() * time.Duration(len(b.hosts)) / time.Duration(fairFactor*b.capacity)
	if h.shareUsedUntil.Before(now) {
		h.shareUsedUntil = now
	}
	h.shareUsedUntil = h.shareUsedUntil.Add(every)
	due := h.shareUsedUntil.Add(-fairBurst * every)
	if due.Before(now) {
		return now
	}
	return due
}

// serve grants or refuses the oldest request of a host that it can, and reports whether there was
// one. A request that needs a particular target does not block those behind it; any other request
// that finds no slot shows that no slot is free.
func (b *Coordinator) serve(now time.Time, h *host) bool {
	for i := h.queue.head; i < len(h.queue.items); i++ {
		w := &h.queue.items[i]
		if b.saturated && w.request.plain() {
			return false
		}
		if b.resolve(now, h, w) {
			h.queue.removeAt(i)
			b.queued--
			return true
		}
		b.saturated = b.saturated || w.request.plain()
	}
	return false
}

// plain reports whether any target with a free slot will do.
func (a *Request) plain() bool { return !a.Exclusive && !a.Hedge && len(a.Avoid) == 0 }

// resolve grants or refuses a request, or returns false to leave it waiting.
func (b *Coordinator) resolve(now time.Time, h *host, w *waiter) bool {
	if !w.deadline.IsZero() && now.Add(b.latencies.Median()).After(w.deadline) {
		h.refuse(w.request.ID, outcome.ReasonDeadline)
		return true
	}
	t := b.pickTarget(now, h, &w.request)
	if t == nil && w.request.Hedge {
		h.refuse(w.request.ID, outcome.ReasonQueueFull)
		return true
	}
	if t == nil {
		return false
	}
	b.addAttempt(h, w.request.ID, t, now, w.request.Exclusive)
	t.lastGrant = now
	h.grants = append(h.grants, Grant{ID: w.request.ID, Target: t.id})
	return true
}

// checkReserved clears the reservation of a target once no exclusive request is waiting.
// Otherwise the target would stay idle until the next one.
func (b *Coordinator) checkReserved() {
	if b.reserved == nil {
		return
	}
	for _, h := range b.hosts {
		if h.queue.hasExclusive() {
			return
		}
	}
	b.reserved = nil
}

// declineAll tells all waiting hosts to choose targets themselves. This host's target list may be
// older than theirs, so it can not tell them that there are no targets.
func (b *Coordinator) declineAll() {
	for _, h := range b.hosts {
		h.decline = h.decline || h.queue.len() > 0
		b.queued -= h.queue.retain(func(AttemptID) bool { return false })
	}
}

// pickTarget returns the target for a request, or nil if no suitable target has a free slot.
func (b *Coordinator) pickTarget(now time.Time, h *host, a *Request) *target {
	if a.Exclusive {
		return b.pickExclusive(now, a)
	}
	in := b.newPickParams(now, a)
	// A hedge on the target of the first attempt would gain nothing.
	strict := a.Hedge || (len(a.Avoid) > 0 && b.hasAlternative(now, a.Avoid))
	var best *target
	bestScore := 0
	b.offset++
	i := b.offset % max(len(b.targets), 1)
	for range b.targets {
		t := b.targets[i]
		if i++; i == len(b.targets) {
			i = 0
		}
		score, ok := b.score(&in, t)
		if !ok {
			continue
		}
		if t.zone != h.zone {
			score += otherZonePenalty
		}
		if best != nil && score >= bestScore {
			continue
		}
		if strict && slices.Contains(a.Avoid, t.id) {
			continue
		}
		best, bestScore = t, score
	}
	return best
}

// pickParams holds what a choice computes once for all targets.
type pickParams struct {
	time          time.Time
	now           instant.Time
	limit         int // attempts a healthy target may hold
	cold          bool
	overdueBefore instant.Time // attempts granted before it are overdue
}

func (b *Coordinator) newPickParams(now time.Time, a *Request) pickParams {
	in := pickParams{time: now, now: b.clock.At(now), limit: b.slots, cold: b.limitsCold(now)}
	if !a.Hedge {
		in.limit += b.overcommit()
	}
	if d := b.overdueAfter(); d > 0 {
		in.overdueBefore = in.now.Add(-d)
	}
	return in
}

// Components of a score. The lowest score wins; an attempt in flight costs attemptCost.
const (
	attemptCost      = 16
	overduePenalty   = 8 * attemptCost
	coldPenalty      = attemptCost / 2
	slowPenalty      = attemptCost // as much as one more attempt in flight
	otherZonePenalty = 1           // prefers the host's availability zone among equals
)

// score returns the score of a target, and false if it has no free slot.
func (b *Coordinator) score(in *pickParams, t *target) (int, bool) {
	if !t.available || t == b.reserved {
		return 0, false
	}
	held := len(t.attempts)
	limit := in.limit
	score := held * attemptCost
	if t.otherLoad > 0 && in.now.Add(-otherLoadTTL) < t.otherLoadAt {
		score += t.otherLoad * attemptCost
	}
	if held > 0 && t.oldestGrant < in.overdueBefore {
		limit = b.slots
		score += overduePenalty
	}
	if in.now < t.slowUntil {
		score += slowPenalty
	}
	if in.now < t.backoffUntil {
		limit = min(limit, t.backoffLimit)
	}
	if held >= limit {
		return 0, false
	}
	if in.cold || t.impaired {
		return b.scoreImpaired(in, t, score)
	}
	return score, true
}

// scoreImpaired completes the score of a target that may be cold, ejected or on trial.
func (b *Coordinator) scoreImpaired(in *pickParams, t *target, score int) (int, bool) {
	if t.health.Ejected(in.time) {
		return 0, false
	}
	if t.health.OnTrial() && t.inFlight() > 0 {
		return 0, false
	}
	if !in.cold || !b.isCold(in.time, t) {
		return score, true
	}
	if t.inFlight() >= b.slots || !b.coldSlotDue(in.time, t) {
		return 0, false
	}
	return score + coldPenalty, true
}

// overdueAfter returns the age at which an attempt is overdue, or 0 if too few latencies are
// known.
func (b *Coordinator) overdueAfter() time.Duration {
	if b.latencies.Count() < minSamples {
		return 0
	}
	return max(overdueFactor*b.latencies.Median(), minOverdue)
}

// overcommit returns how many attempts beyond its slots a target may hold: as many as complete
// during the delay between a release and the next grant. Without overcommit each slot is idle for
// that delay; with more, calls wait in the target's queue, possibly behind a straggler.
func (b *Coordinator) overcommit() int {
	mean := b.latencies.Mean()
	if b.latencies.Count() < minSamples || mean <= 0 {
		return 1
	}
	delay := 2*b.turnaround + targetRTT
	if b.queued > max(b.capacity/4, 1) {
		delay += mean
	}
	n := int((time.Duration(b.slots)*delay + mean - 1) / mean)
	return min(max(n, 1), 2*b.slots)
}

// targetRTT is the part of the turnaround that reports do not include: the network round trip
// between the entry host and the target.
const targetRTT = 500 * time.Microsecond

// limitsCold reports whether targets in their cold start are limited.
func (b *Coordinator) limitsCold(now time.Time) bool {
	if b.coldStart <= 0 {
		return false
	}
	n := 0
	for _, t := range b.targets {
		if t.usable() && b.isCold(now, t) {
			n++
		}
	}
	return n > 0 && float64(n) <= maxColdTargets*float64(len(b.targets))
}

func (b *Coordinator) isCold(now time.Time, t *target) bool {
	return now.Sub(t.firstSeen) < b.coldStart
}

// coldSlotDue spaces the attempts on a cold target so that its share of the calls grows from
// minColdShare to the whole over the cold start.
func (b *Coordinator) coldSlotDue(now time.Time, t *target) bool {
	share := max(float64(now.Sub(t.firstSeen))/float64(b.coldStart), minColdShare)
	every := float64(b.latencies.Mean()) / (float64(b.slots) * share)
	return now.Sub(t.lastGrant) >= time.Duration(every)
}

// hasAlternative reports whether a target that is not to be avoided could serve the request.
func (b *Coordinator) hasAlternative(now time.Time, avoid []ports.HostID) bool {
	for _, t := range b.targets {
		if t.usable() && !t.health.Ejected(now) && !slices.Contains(avoid, t.id) {
			return true
		}
	}
	return false
}

// pickExclusive returns an idle target. If there is none, it reserves one, which then gets no
// other attempts: otherwise busy targets could delay the request forever.
func (b *Coordinator) pickExclusive(now time.Time, a *Request) *target {
	var least *target
	strict := b.hasAlternative(now, a.Avoid)
	at := b.clock.At(now)
	for _, t := range b.targets {
		if !t.available || t.health.Ejected(now) || at < t.backoffUntil {
			continue
		}
		if strict && slices.Contains(a.Avoid, t.id) {
			continue
		}
		if least == nil || t.inFlight() < least.inFlight() {
			least = t
		}
	}
	if b.reserved != nil && b.reserved.inFlight() == 0 {
		least = b.reserved
	}
	if least == nil {
		return nil
	}
	if least.inFlight() == 0 {
		b.reserved = nil
		return least
	}
	if b.reserved == nil {
		b.reserved = least
	}
	return nil
}

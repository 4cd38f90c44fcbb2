package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/platform"
)

// Choice among targets.
const (
	// overdueTimes the median latency makes an attempt overdue: the target is
	// taken for a straggler while it lasts.
	overdueTimes = 4
	// minOverdue keeps very fast services from suspecting targets on a delay
	// in the network.
	minOverdue = 2 * time.Millisecond
	// slowFor is how long an answer that came late is held against a target.
	slowFor = 30 * time.Millisecond
	// maxGap bounds what is believed of the journey of grant and release.
	maxGap = 10 * time.Millisecond
	// minSamples is how many latencies must be known to judge by them.
	minSamples = 20
	// coldFloor is the share of its slots with which a new target starts.
	coldFloor = 0.1
	// maxCold is the share of targets above which cold starts are ignored:
	// when most targets are new, holding them back only delays the calls.
	maxCold = 0.5
)

// dispatch gives slots to asks until it runs out of one or the other. Hosts
// take turns, so that one host's burst does not hold up the others'.
func (b *Book) dispatch(now time.Time) {
	if b.queued > 0 && b.capacity == 0 {
		b.declineAll()
	}
	b.checkReserved()
	missed := 0
	for b.queued > 0 && missed < len(b.hosts) {
		b.turn = (b.turn + 1) % len(b.hosts)
		h := b.hosts[b.turn]
		if h.queue.len() == 0 || !b.serve(now, h) {
			missed++
			continue
		}
		missed = 0
	}
}

// serve settles the oldest ask of a host and reports whether it could.
func (b *Book) serve(now time.Time, h *host) bool {
	w := h.queue.front()
	t := b.place(now, &w.ask)
	if t == nil && !w.ask.Hedge {
		return false
	}
	if t == nil {
		h.refuse(w.ask.ID, outcome.ReasonQueueFull)
	} else {
		b.hold(h, w.ask.ID, t, now, w.ask.Alone)
		t.lastGrant = now
		h.grants = append(h.grants, Grant{ID: w.ask.ID, Target: t.id})
	}
	h.queue.pop()
	b.queued--
	return true
}

// checkReserved frees the reserved target when the ask it was kept for is gone.
// Otherwise it would stand idle until the next such ask.
func (b *Book) checkReserved() {
	if b.reserved == nil {
		return
	}
	for _, h := range b.hosts {
		if h.queue.hasAlone() {
			return
		}
	}
	b.reserved = nil
}

// declineAll sends all asks back to their hosts. The list of targets that this
// host has may lag behind theirs, so it can not say that there is none.
func (b *Book) declineAll() {
	for _, h := range b.hosts {
		h.decline = h.decline || h.queue.len() > 0
		b.queued -= h.queue.keep(func(CallID) bool { return false })
	}
}

// place returns the target for an ask, or nil if none has a slot now.
func (b *Book) place(now time.Time, a *Ask) *target {
	if a.Alone {
		return b.placeAlone(now, a)
	}
	over := b.over()
	if a.Hedge {
		over = 0
	}
	cold := b.coldLimit(now)
	overdue := b.overdueAfter()
	var best *target
	bestScore := 0
	n := len(b.targets)
	b.offset++
	for i := range n {
		t := b.targets[(i+b.offset)%n]
		score, ok := b.score(now, t, over, cold, overdue)
		if !ok || (best != nil && score >= bestScore) {
			continue
		}
		if len(a.Avoid) > 0 && slices.Contains(a.Avoid, t.id) && b.others(now, a.Avoid) {
			continue
		}
		best, bestScore = t, score
	}
	return best
}

// Scores: lower is better; an attempt in flight counts one step.
const (
	step         = 16
	scoreOverdue = 8 * step
	scoreCold    = step / 2
)

// score rates a target; false means that it has no slot.
func (b *Book) score(now time.Time, t *target, over int, cold bool, overdue time.Duration) (int, bool) {
	if !t.usable() || t.alone || t == b.reserved || t.health.Ejected(now) {
		return 0, false
	}
	load := t.inFlight()
	if t.foreign > 0 && now.Sub(t.foreignAt) < foreignFor {
		load += t.foreign
	}
	limit := b.slots + over
	score := load * step
	if b.slow(now, t, overdue) {
		limit = b.slots
		score += scoreOverdue
	}
	if cold && b.isCold(now, t) {
		if !b.coldTurn(now, t) {
			return 0, false
		}
		limit = b.slots
		score += scoreCold
	}
	if t.health.Trial() {
		limit = 1
	}
	if now.Before(t.shedUntil) {
		limit = min(limit, t.shedLimit)
	}
	return score, load < limit
}

// slow reports whether the target is taken for a straggler.
func (b *Book) slow(now time.Time, t *target, overdue time.Duration) bool {
	if overdue == 0 {
		return false
	}
	if t.inFlight() > 0 && now.Sub(t.oldest) > overdue {
		return true
	}
	return now.Before(t.slowUntil)
}

// overdueAfter is the age at which an attempt is overdue, 0 if not known.
func (b *Book) overdueAfter() time.Duration {
	if b.service.Count() < minSamples {
		return 0
	}
	return max(overdueTimes*b.service.Median(), minOverdue)
}

// over is how many attempts beyond its slots a target may hold: as many as fit
// into the journey of release and grant. Never over the slots, each slot stands
// idle for that journey; further over, calls wait in the target's queue, behind
// a straggler if it has become one.
func (b *Book) over() int {
	mean := b.service.Mean()
	if b.service.Count() < minSamples || mean <= 0 {
		return 1
	}
	journey := 2*b.gap + fixedGap
	n := int((time.Duration(b.slots)*journey + mean - 1) / mean)
	return min(max(n, 1), b.slots)
}

// fixedGap is the part of the journey that reports do not show: the way from
// the entry host to the target and back.
const fixedGap = 500 * time.Microsecond

// coldLimit reports whether cold starts are to be held back.
func (b *Book) coldLimit(now time.Time) bool {
	if b.cold <= 0 {
		return false
	}
	n := 0
	for _, t := range b.targets {
		if t.usable() && b.isCold(now, t) {
			n++
		}
	}
	return n > 0 && float64(n) <= maxCold*float64(len(b.targets))
}

func (b *Book) isCold(now time.Time, t *target) bool {
	return now.Sub(t.firstSeen) < b.cold
}

// coldTurn spaces the attempts on a new target so that its share grows from
// coldFloor to the whole over the cold start.
func (b *Book) coldTurn(now time.Time, t *target) bool {
	share := max(float64(now.Sub(t.firstSeen))/float64(b.cold), coldFloor)
	every := float64(b.service.Mean()) / (float64(b.slots) * share)
	return now.Sub(t.lastGrant) >= time.Duration(every)
}

// others reports whether a target that is not to be avoided could serve.
func (b *Book) others(now time.Time, avoid []platform.HostID) bool {
	for _, t := range b.targets {
		if t.usable() && !t.health.Ejected(now) && !slices.Contains(avoid, t.id) {
			return true
		}
	}
	return false
}

// placeAlone returns an idle target. If there is none it keeps one from getting
// more, so that busy targets can not put off the ask for ever.
func (b *Book) placeAlone(now time.Time, a *Ask) *target {
	var least *target
	strict := b.others(now, a.Avoid)
	for _, t := range b.targets {
		if !t.usable() || t.alone || t.health.Ejected(now) {
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

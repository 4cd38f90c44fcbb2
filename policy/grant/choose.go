package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Choice among targets.
const (
	// overdueTimes the median latency makes an attempt overdue: the target is
	// taken for a straggler while it lasts.
	overdueTimes = 6
	// minOverdue keeps very fast services from suspecting targets on a delay
	// in the network.
	minOverdue = 2 * time.Millisecond
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

// dispatch gives slots to asks until it runs out of one or the other.
func (b *Coordinator) dispatch(now time.Time) {
	if b.queued > 0 && b.capacity == 0 {
		b.declineAll()
	}
	b.checkReserved()
	b.full = false
	for _, h := range b.hosts {
		h.passed = false
	}
	for b.queued > 0 {
		h := b.next()
		if h == nil {
			return
		}
		h.passed = !b.serve(now, h)
	}
}

// next returns the host whose oldest ask is due first, of those whose turn was
// not passed because no target suits the ask.
func (b *Coordinator) next() *host {
	var first *host
	for _, h := range b.hosts {
		if h.queue.len() == 0 || h.passed {
			continue
		}
		if first == nil || h.queue.front().tag.Before(first.queue.front().tag) {
			first = h
		}
	}
	return first
}

// Fairness between hosts.
const (
	// fairTimes an even share of the capacity is served in the order of
	// arrival; what a host asks beyond it waits behind the others.
	fairTimes = 2
	// fairBurst asks may come at once before that counts.
	fairBurst = 16
)

// tag returns when an ask is due. Asks are served in the order of arrival, which
// has the shortest tail, as long as each host keeps to a multiple of its even
// share; a host that floods the coordinator delays its own asks only.
func (b *Coordinator) tag(now time.Time, h *host) time.Time {
	if b.capacity == 0 || b.service.Count() < minSamples {
		return now
	}
	every := b.service.Mean() * time.Duration(len(b.hosts)) / time.Duration(fairTimes*b.capacity)
	if h.paid.Before(now) {
		h.paid = now
	}
	h.paid = h.paid.Add(every)
	due := h.paid.Add(-fairBurst * every)
	if due.Before(now) {
		return now
	}
	return due
}

// serve settles one ask of a host, the oldest that can be, and reports whether
// there was one. An ask that wants a certain target does not hold up those
// behind it; any other ask that finds no slot shows that there is none.
func (b *Coordinator) serve(now time.Time, h *host) bool {
	for i := h.queue.head; i < len(h.queue.items); i++ {
		w := &h.queue.items[i]
		if b.full && w.ask.plain() {
			return false
		}
		if b.settle(now, h, w) {
			h.queue.removeAt(i)
			b.queued--
			return true
		}
		b.full = b.full || w.ask.plain()
	}
	return false
}

// plain reports whether any target will do.
func (a *Request) plain() bool { return !a.Exclusive && !a.Hedge && len(a.Avoid) == 0 }

// settle grants or refuses an ask, or leaves it waiting and returns false.
func (b *Coordinator) settle(now time.Time, h *host, w *waiter) bool {
	if !w.deadline.IsZero() && now.Add(b.service.Median()).After(w.deadline) {
		h.refuse(w.ask.ID, outcome.ReasonDeadline)
		return true
	}
	t := b.place(now, h, &w.ask)
	if t == nil && w.ask.Hedge {
		h.refuse(w.ask.ID, outcome.ReasonQueueFull)
		return true
	}
	if t == nil {
		return false
	}
	b.hold(h, w.ask.ID, t, now, w.ask.Exclusive)
	t.lastGrant = now
	h.grants = append(h.grants, Grant{ID: w.ask.ID, Target: t.id})
	return true
}

// checkReserved frees the reserved target when the ask it was kept for is gone.
// Otherwise it would stand idle until the next such ask.
func (b *Coordinator) checkReserved() {
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
func (b *Coordinator) declineAll() {
	for _, h := range b.hosts {
		h.decline = h.decline || h.queue.len() > 0
		b.queued -= h.queue.keep(func(AttemptID) bool { return false })
	}
}

// place returns the target for an ask, or nil if none has a slot now.
func (b *Coordinator) place(now time.Time, h *host, a *Request) *target {
	if a.Exclusive {
		return b.placeAlone(now, a)
	}
	in := b.terms(now, a)
	// A second attempt beside the first at the same target would help nobody.
	strict := a.Hedge || (len(a.Avoid) > 0 && b.others(now, a.Avoid))
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
			score += scoreFar
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

// terms is what a choice looks up once for all targets.
type terms struct {
	time    time.Time
	now     instant.Time
	limit   int // attempts a healthy target may hold
	cold    bool
	overdue instant.Time // grants before it are overdue
}

func (b *Coordinator) terms(now time.Time, a *Request) terms {
	in := terms{time: now, now: b.clock.At(now), limit: b.slots, cold: b.coldLimit(now)}
	if !a.Hedge {
		in.limit += b.over()
	}
	if d := b.overdueAfter(); d > 0 {
		in.overdue = in.now.Add(-d)
	}
	return in
}

// Scores: lower is better; an attempt in flight counts one step.
const (
	step         = 16
	scoreOverdue = 8 * step
	scoreCold    = step / 2
	scoreSlow    = step // as much as one more attempt in flight
	scoreFar     = 1    // among equals the target in the host's zone is nearer
)

// score rates a target; false means that it has no slot.
func (b *Coordinator) score(in *terms, t *target) (int, bool) {
	if !t.open || t == b.reserved {
		return 0, false
	}
	held := len(t.calls)
	limit := in.limit
	score := held * step
	if t.foreign > 0 && in.now.Add(-foreignFor) < t.foreignAt {
		score += t.foreign * step
	}
	if held > 0 && t.oldest < in.overdue {
		limit = b.slots
		score += scoreOverdue
	}
	if in.now < t.slowUntil {
		score += scoreSlow
	}
	if in.now < t.restUntil {
		limit = min(limit, t.restLimit)
	}
	if held >= limit {
		return 0, false
	}
	if in.cold || t.doubted {
		return b.scoreDoubted(in, t, score)
	}
	return score, true
}

// scoreDoubted goes on for targets that may be cold, ejected or on trial.
func (b *Coordinator) scoreDoubted(in *terms, t *target, score int) (int, bool) {
	if t.health.Ejected(in.time) {
		return 0, false
	}
	if t.health.OnTrial() && t.inFlight() > 0 {
		return 0, false
	}
	if !in.cold || !b.isCold(in.time, t) {
		return score, true
	}
	if t.inFlight() >= b.slots || !b.coldTurn(in.time, t) {
		return 0, false
	}
	return score + scoreCold, true
}

// overdueAfter is the age at which an attempt is overdue, 0 if not known.
func (b *Coordinator) overdueAfter() time.Duration {
	if b.service.Count() < minSamples {
		return 0
	}
	return max(overdueTimes*b.service.Median(), minOverdue)
}

// over is how many attempts beyond its slots a target may hold: as many as fit
// into the journey of release and grant. Never over the slots, each slot stands
// idle for that journey; further over, calls wait in the target's queue, behind
// a straggler if it has become one.
func (b *Coordinator) over() int {
	mean := b.service.Mean()
	if b.service.Count() < minSamples || mean <= 0 {
		return 1
	}
	journey := 2*b.gap + fixedGap
	if b.queued > max(b.capacity/4, 1) {
		journey += mean
	}
	n := int((time.Duration(b.slots)*journey + mean - 1) / mean)
	return min(max(n, 1), 2*b.slots)
}

// fixedGap is the part of the journey that reports do not show: the way from
// the entry host to the target and back.
const fixedGap = 500 * time.Microsecond

// coldLimit reports whether cold starts are to be held back.
func (b *Coordinator) coldLimit(now time.Time) bool {
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

func (b *Coordinator) isCold(now time.Time, t *target) bool {
	return now.Sub(t.firstSeen) < b.cold
}

// coldTurn spaces the attempts on a new target so that its share grows from
// coldFloor to the whole over the cold start.
func (b *Coordinator) coldTurn(now time.Time, t *target) bool {
	share := max(float64(now.Sub(t.firstSeen))/float64(b.cold), coldFloor)
	every := float64(b.service.Mean()) / (float64(b.slots) * share)
	return now.Sub(t.lastGrant) >= time.Duration(every)
}

// others reports whether a target that is not to be avoided could serve.
func (b *Coordinator) others(now time.Time, avoid []ports.HostID) bool {
	for _, t := range b.targets {
		if t.usable() && !t.health.Ejected(now) && !slices.Contains(avoid, t.id) {
			return true
		}
	}
	return false
}

// placeAlone returns an idle target. If there is none it keeps one from getting
// more, so that busy targets can not put off the ask for ever.
func (b *Coordinator) placeAlone(now time.Time, a *Request) *target {
	var least *target
	strict := b.others(now, a.Avoid)
	at := b.clock.At(now)
	for _, t := range b.targets {
		if !t.open || t.health.Ejected(now) || at < t.restUntil {
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

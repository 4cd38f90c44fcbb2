package suspicion

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Tracker holds one host's knowledge of suspect requests. It is not safe for concurrent use.
type Tracker struct {
	limits  Limits
	entries map[Digest]*entry
	// losses holds the last loss of each recently lost target.
	losses map[ports.RunID]Loss
	// accused holds when each request was recently accused, whether cleared since or not.
	accused map[Digest]time.Time
	// cleared holds when requests were recently cleared: older records of them from other hosts
	// are out of date.
	cleared map[Digest]time.Time
	// lossTargets has at least the targets that requests lost, as of the last Sweep and since.
	lossTargets map[ports.RunID]bool
	// alive holds the proofs that targets did not crash: losses that they cover are no evidence.
	alive map[ports.RunID]proofs
	// withdrawn holds the losses that were withdrawn from requests since their last complete response,
	// although the target may have been restarted.
	withdrawn map[Digest][]Loss
	// groupEnded holds until when losses of a group are no evidence any more, because its probation ended then.
	groupEnded map[Digest]time.Time
	// minLosses is the number of lost targets from which a request is blamed that never ran in
	// isolation.
	minLosses int
}

// defaultMinLosses applies if every host learns of every suspect at once, and sends suspects only
// to targets that run nothing else.
const defaultMinLosses = 2

// SetMinLosses sets the number of lost targets from which a request is blamed without a trial, 2
// or more. If not every host learns of a suspect, an innocent request may run beside a guilty one
// twice.
func (b *Tracker) SetMinLosses(losses int) { b.minLosses = max(losses, defaultMinLosses) }

// NewTracker returns an empty tracker.
func NewTracker(l Limits) *Tracker {
	return &Tracker{
		limits:    l,
		minLosses: defaultMinLosses,
		entries:   make(map[Digest]*entry),
		losses:    make(map[ports.RunID]Loss),
		accused:   make(map[Digest]time.Time),
		cleared:   make(map[Digest]time.Time),
		alive:     make(map[ports.RunID]proofs),

		lossTargets: make(map[ports.RunID]bool),

		withdrawn:  make(map[Digest][]Loss),
		groupEnded: make(map[Digest]time.Time),
	}
}

// Len returns the number of requests tracked.
func (b *Tracker) Len() int { return len(b.entries) }

// Active reports whether a complete response or an answer of a target may change anything.
func (b *Tracker) Active() bool { return len(b.entries) > 0 || len(b.withdrawn) > 0 }

// State returns the state of a request after applying timeouts: an expired suspect is dropped,
// and an expired quarantine makes the request a suspect.
func (b *Tracker) State(now time.Time, d Digest) State {
	e := b.entries[d]
	if e == nil {
		return Clean
	}
	switch e.state {
	case Suspect:
		if b.expired(now, e) {
			if e.onProbation() {
				b.groupEnded[d] = now
			}
			delete(b.entries, d)
			return Clean
		}
	case Quarantined:
		b.settle(now, e)
		switch {
		case b.servedOut(now, e):
			b.release(e, now)
			e.releases++
		case now.Sub(e.sent) >= b.limits.ReleaseAfterIdle:
			b.release(e, now)
		}
	}
	return e.state
}

// Settled reports whether the quarantine of a request is confirmed, so that it is refused and not
// held.
func (b *Tracker) Settled(now time.Time, d Digest) bool {
	return b.State(now, d) == Quarantined && b.entries[d].settled
}

// settle confirms or drops a quarantine once it is SettleTime old.
//
// When the targets of a zone fail milliseconds apart, a retried request looks as if it crashed
// two of them. After SettleTime the other losses are known.
func (b *Tracker) settle(now time.Time, e *entry) {
	if e.settled || now.Sub(e.since) < b.limits.SettleTime || b.awaitsProof(now, e) {
		return
	}
	blamed := b.stillBlamed(e)
	excused := b.unexplained(e) >= b.limits.MassLossTargets || b.accusedWith(e) > maxAccused || b.explainedByOthers(e)
	switch {
	case !blamed:
		e.setState(Suspect, now)
		e.excusedAt = now
	case excused && e.excusesLeft() > 0:
		e.setState(Suspect, now)
		e.excusedAt = now
		if !e.excusedElsewhere {
			e.excuses++
		}
	default:
		e.settled = true
		b.trackGroup(now, e.group)
	}
}

// maxExcuses is how often a request without a complete response may be excused, or released although it is
// sent. Where targets are lost all the time, each crash would be excused by a loss of another target.
const maxExcuses = 2

// excusesLeft returns how often the request may still be excused, for the present accusation too.
func (e *entry) excusesLeft() int {
	left := maxExcuses - e.excuses - e.releases
	if e.excusedElsewhere {
		left++
	}
	return left
}

// release makes a quarantined request a suspect with one loss, so that one more loss in a trial
// quarantines it again.
func (b *Tracker) release(e *entry, now time.Time) {
	e.setState(Suspect, now)
	e.losses = e.losses[:1]
	e.losses[0].Trial = false
	e.trial = trial{}
	e.sent = now
}

// RecordSent records that a request was sent again and returns its state.
func (b *Tracker) RecordSent(now time.Time, d Digest) State {
	s := b.State(now, d)
	if e := b.entries[d]; e != nil {
		e.sent = now
	}
	return s
}

// RecordBrokenRun records a run whose connection broke and returns the request's state.
func (b *Tracker) RecordBrokenRun(now time.Time, r BrokenRun) State {
	r.Own = true
	b.recordLoss(now, r.Loss)
	e := b.ensure(r.Digest, now)
	e.sent = now
	e.answered = e.answered || r.KnownGood
	e.uncertain = e.uncertain || r.Uncertain
	e.group = r.Group
	b.lossTargets[r.Target] = true
	if e.add(r.Loss, b.limits.LossWindow) && b.blamed(e) {
		b.accuse(r.Digest, e, now)
	}
	b.recordGroupLoss(now, e, r.Loss)
	return e.state
}

// accuse quarantines a request; settle later confirms or drops the quarantine.
func (b *Tracker) accuse(d Digest, e *entry, at time.Time) {
	e.setState(Quarantined, at)
	e.excusedElsewhere = false
	if e.isGroup {
		return // one of its requests is accused besides
	}
	for old, t := range b.accused {
		if at.Sub(t) >= 2*b.limits.LossWindow {
			delete(b.accused, old)
		}
	}
	b.accused[d] = at
}

// RecordLostTarget records that a target is unreachable, whatever it ran. Such a loss excuses requests,
// so that only this host's own proofs withdraw it.
func (b *Tracker) RecordLostTarget(now time.Time, target ports.RunID) {
	b.recordLoss(now, Loss{Target: target, At: now, Own: true})
}

// ensure returns the entry of a request, and makes a clean request a suspect.
func (b *Tracker) ensure(d Digest, now time.Time) *entry {
	if e := b.entries[d]; e != nil {
		return e
	}
	b.makeRoom()
	e := &entry{state: Suspect, since: now, sent: now}
	b.entries[d] = e
	return e
}

// unexplained counts the losses in the window of this quarantine that speak for the innocence of
// the request: targets that no accused request ran on. Two requests that crash targets at the
// same time explain each other's losses.
//
// A request that is often in flight is lost with any zone that fails. So one that was answered
// before explains no loss of others, and every other lost target counts, as do all but the first
// of its own losses outside of trials.
func (b *Tracker) unexplained(e *entry) int {
	counts := func(l Loss) bool {
		recent := absDiff(l.At, e.since) < b.limits.LossWindow && l.At.After(e.excusedAt)
		return recent && (!l.Pending || b.relevant(e, l))
	}
	n := 0
	if e.answered {
		n = e.untrialed(counts)
	}
	for id, l := range b.losses {
		if counts(l) && !e.lostWith(id) && (e.answered || !b.explained(id)) {
			n++
		}
	}
	return n
}

// maxAccused is the number of requests that may be blamed within one loss window. More than that
// are likely victims of a failing zone that seem to explain each other's losses.
const maxAccused = 2

// accusedWith counts the requests accused in the window of this quarantine.
func (b *Tracker) accusedWith(e *entry) int {
	n := 0
	for _, at := range b.accused {
		if absDiff(at, e.since) < b.limits.LossWindow && at.After(e.excusedAt) {
			n++
		}
	}
	return n
}

func (b *Tracker) explained(id ports.RunID) bool {
	for _, e := range b.entries {
		if e.state == Quarantined && !e.answered && e.lostWith(id) {
			return true
		}
	}
	return false
}

// explainedByOthers reports whether a request that was answered before is left with too few losses to blame
// it, without those of targets that a quarantined request which was never answered lost as well.
func (b *Tracker) explainedByOthers(e *entry) bool {
	if !e.answered {
		return false
	}
	own := 0
	for _, l := range e.losses {
		if !b.lostByAccused(l) {
			own++
		}
	}
	return own < defaultMinLosses
}

// lostByAccused reports whether a quarantined request that was never answered lost the same target at
// about the same time.
func (b *Tracker) lostByAccused(l Loss) bool {
	same := func(o Loss) bool { return o.Target == l.Target && absDiff(o.At, l.At) < b.limits.LossWindow }
	for _, e := range b.entries {
		if e.state == Quarantined && !e.answered && slices.ContainsFunc(e.losses, same) {
			return true
		}
	}
	return false
}

func (b *Tracker) recordLoss(now time.Time, l Loss) {
	for id, old := range b.losses {
		if now.Sub(old.At) >= 2*b.limits.LossWindow {
			delete(b.losses, id)
		}
	}
	if old, ok := b.losses[l.Target]; !ok || old.At.Before(l.At) {
		b.losses[l.Target] = l
	}
}

// Clear records that a request is innocent, shown by a complete response or stated by an
// operator, and reports whether it was suspected. Older records from other hosts are ignored from
// now on.
func (b *Tracker) Clear(now time.Time, d Digest) bool {
	delete(b.withdrawn, d)
	if b.entries[d] == nil {
		return false
	}
	b.remember(now, d)
	delete(b.entries, d)
	return true
}

// reorderAllowance is how much later than the news that a request is cleared an earlier record of it
// may be handled: messages of one host are handled concurrently.
const reorderAllowance = 50 * time.Millisecond

// Drop forgets a request that the host that arbitrates its trials does not suspect. Unlike Clear, it does
// not state that the request was answered.
func (b *Tracker) Drop(d Digest) { delete(b.entries, d) }

// ClearElsewhere records that another host has cleared a request, whether it is suspected here or
// not yet.
func (b *Tracker) ClearElsewhere(now time.Time, d Digest) {
	b.Clear(now, d)
	b.remember(now.Add(reorderAllowance), d)
}

// remember records when a request was cleared.
func (b *Tracker) remember(at time.Time, d Digest) {
	if len(b.cleared) >= b.limits.MaxEntries {
		clear(b.cleared)
	}
	b.cleared[d] = at
}

// Sweep drops expired entries.
func (b *Tracker) Sweep(now time.Time) {
	for d := range b.entries {
		b.State(now, d)
	}
	for d, at := range b.cleared {
		if now.Sub(at) >= b.limits.SuspectTTL {
			delete(b.cleared, d)
		}
	}
	for d, at := range b.groupEnded {
		if now.Sub(at) >= b.limits.SuspectTTL {
			delete(b.groupEnded, d)
		}
	}
	b.sweepProofs(now)
	b.sweepLossTargets()
}

// sweepLossTargets drops the targets of which no loss is recorded any more.
func (b *Tracker) sweepLossTargets() {
	clear(b.lossTargets)
	for _, e := range b.entries {
		for _, l := range e.losses {
			b.lossTargets[l.Target] = true
		}
	}
	for _, list := range b.withdrawn {
		for _, l := range list {
			b.lossTargets[l.Target] = true
		}
	}
}

// makeRoom drops one request if the tracker is full: the suspect that was sent the longest ago
// or, if there is none, such a quarantined request.
func (b *Tracker) makeRoom() {
	if len(b.entries) < b.limits.MaxEntries {
		return
	}
	var oldest Digest
	var found *entry
	for d, e := range b.entries {
		if found == nil || e.state < found.state || (e.state == found.state && e.sent.Before(found.sent)) {
			oldest, found = d, e
		}
	}
	delete(b.entries, oldest)
}

// Digests returns the tracked requests in the given state.
func (b *Tracker) Digests(s State) []Digest {
	var out []Digest
	for d, e := range b.entries {
		if e.state == s {
			out = append(out, d)
		}
	}
	return out
}

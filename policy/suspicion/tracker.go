package suspicion

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Tracker is one host's knowledge of suspects. It is not safe for concurrent use.
type Tracker struct {
	limits  Limits
	entries map[Digest]*entry
	// losses are the targets lost of late, with the last loss of each.
	losses map[ports.RunID]Loss
	// accused is when each request was accused of late, cleared since or not.
	accused map[Digest]time.Time
	// cleared are the requests lately proved innocent: what other hosts still
	// tell of them is out of date.
	cleared map[Digest]time.Time
	// need is how many targets a request must have been lost with, if it was never
	// tried alone, to be held for the cause.
	need int
}

// leastLosses is that number where every host hears of every suspect at once, and
// sends a suspect to a target that runs nothing else.
const leastLosses = 2

// SetMinLosses sets how many targets a request must have been lost with to be held for the
// cause without a trial, 2 or more. Where not every host hears of a suspect, an
// innocent request may run beside a guilty one twice.
func (b *Tracker) SetMinLosses(losses int) { b.need = max(losses, leastLosses) }

// NewTracker returns an empty tracker.
func NewTracker(l Limits) *Tracker {
	return &Tracker{
		limits:  l,
		need:    leastLosses,
		entries: make(map[Digest]*entry),
		losses:  make(map[ports.RunID]Loss),
		accused: make(map[Digest]time.Time),
		cleared: make(map[Digest]time.Time),
	}
}

// Len returns the number of requests remembered.
func (b *Tracker) Len() int { return len(b.entries) }

// State returns what is held of a request. Times that have passed take effect
// here: a suspect is forgotten, a quarantined request becomes a suspect.
func (b *Tracker) State(now time.Time, d Digest) State {
	e := b.entries[d]
	if e == nil {
		return Clean
	}
	switch e.state {
	case Suspect:
		if now.Sub(e.sent) >= b.limits.SuspectTTL {
			delete(b.entries, d)
			return Clean
		}
	case Quarantined:
		b.settle(now, e)
		if now.Sub(e.sent) >= b.limits.ReleaseAfterIdle || now.Sub(e.since) >= b.limits.MaxQuarantine {
			b.release(e, now)
		}
	}
	return e.state
}

// Settled reports whether a request is to be refused, not held.
func (b *Tracker) Settled(now time.Time, d Digest) bool {
	return b.State(now, d) == Quarantined && b.entries[d].settled
}

// settle decides on a quarantine once it is old enough.
//
// Targets of a zone that die milliseconds apart make a request that was sent again look as if it
// crashed two. Once the moment has passed, the other losses are known.
func (b *Tracker) settle(now time.Time, e *entry) {
	if e.settled || now.Sub(e.since) < b.limits.SettleTime {
		return
	}
	if !b.blamed(e) || b.unexplained(e) >= b.limits.MassLossTargets || b.accusedWith(e) > maxAccused {
		e.setState(Suspect, now)
		e.excused = now
		return
	}
	e.settled = true
}

// release makes a quarantined request a suspect of one loss: one more loss in a
// trial quarantines it again.
func (b *Tracker) release(e *entry, now time.Time) {
	e.setState(Suspect, now)
	e.losses = e.losses[:1]
	e.losses[0].Trial = false
	e.trial = trial{}
	e.sent = now
}

// RecordSent notes that a request came again, and returns its state.
func (b *Tracker) RecordSent(now time.Time, d Digest) State {
	s := b.State(now, d)
	if e := b.entries[d]; e != nil {
		e.sent = now
	}
	return s
}

// RecordBrokenRun takes in a run that broke off and returns the request's state.
func (b *Tracker) RecordBrokenRun(now time.Time, r BrokenRun) State {
	b.noteLoss(now, r.Loss)
	e := b.ensure(r.Digest, now)
	e.sent = now
	e.good = e.good || r.KnownGood
	if e.add(r.Loss, b.limits.LossWindow) && b.blamed(e) {
		b.accuse(r.Digest, e, now)
	}
	return e.state
}

// accuse quarantines a request; settle decides whether it stays so.
func (b *Tracker) accuse(d Digest, e *entry, at time.Time) {
	e.setState(Quarantined, at)
	for old, t := range b.accused {
		if at.Sub(t) >= 2*b.limits.LossWindow {
			delete(b.accused, old)
		}
	}
	b.accused[d] = at
}

// RecordLostTarget takes in that a target can not be reached any more, whatever ran on it.
func (b *Tracker) RecordLostTarget(now time.Time, target ports.RunID) {
	b.noteLoss(now, Loss{Target: target, At: now})
}

// ensure returns the entry of a request, making a suspect of a clean one.
func (b *Tracker) ensure(d Digest, now time.Time) *entry {
	if e := b.entries[d]; e != nil {
		return e
	}
	b.makeRoom()
	e := &entry{state: Suspect, since: now, sent: now}
	b.entries[d] = e
	return e
}

// unexplained counts the targets lost in the wave of this quarantine that speak
// for the request: those that no accused request ran on. Two requests that crash
// targets at the same time explain each other's.
//
// A request that is often in flight is lost with any zone that dies. So one that was answered before
// explains no loss, and any other target lost speaks for it, as do its own untried losses but the
// first.
func (b *Tracker) unexplained(e *entry) int {
	counts := func(l Loss) bool {
		return apart(l.At, e.since) < b.limits.LossWindow && l.At.After(e.excused)
	}
	n := 0
	if e.good {
		n = e.untried(counts)
	}
	for id, l := range b.losses {
		if counts(l) && !e.lost(id) && (e.good || !b.explained(id)) {
			n++
		}
	}
	return n
}

// maxAccused is the number of requests that may be held guilty in one wave. More
// at once are more likely victims of a dying zone that seem to explain each
// other's losses.
const maxAccused = 2

// accusedWith counts the requests accused in the wave of this quarantine.
func (b *Tracker) accusedWith(e *entry) int {
	n := 0
	for _, at := range b.accused {
		if apart(at, e.since) < b.limits.LossWindow && at.After(e.excused) {
			n++
		}
	}
	return n
}

func (b *Tracker) explained(id ports.RunID) bool {
	for _, e := range b.entries {
		if e.state == Quarantined && !e.good && e.lost(id) {
			return true
		}
	}
	return false
}

func (b *Tracker) noteLoss(now time.Time, l Loss) {
	for id, old := range b.losses {
		if now.Sub(old.At) >= 2*b.limits.LossWindow {
			delete(b.losses, id)
		}
	}
	if old, ok := b.losses[l.Target]; !ok || old.At.Before(l.At) {
		b.losses[l.Target] = l
	}
}

// Clear takes in that a request is innocent, by a whole answer to it or by an
// operator's word, and reports whether it had been suspected. What other hosts
// still tell of it from before now counts no more.
func (b *Tracker) Clear(now time.Time, d Digest) bool {
	if b.entries[d] == nil {
		return false
	}
	if len(b.cleared) >= b.limits.MaxEntries {
		clear(b.cleared)
	}
	b.cleared[d] = now
	delete(b.entries, d)
	return true
}

// Sweep forgets what has expired.
func (b *Tracker) Sweep(now time.Time) {
	for d := range b.entries {
		b.State(now, d)
	}
	for d, at := range b.cleared {
		if now.Sub(at) >= b.limits.SuspectTTL {
			delete(b.cleared, d)
		}
	}
}

// makeRoom forgets one request if the tracker is full: the suspect that was sent
// the longest ago or, there being none, the quarantined one.
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

// Digests returns the requests remembered in this state.
func (b *Tracker) Digests(s State) []Digest {
	var out []Digest
	for d, e := range b.entries {
		if e.state == s {
			out = append(out, d)
		}
	}
	return out
}

package suspicion

import (
	"time"

	"github.com/cactusproxy/cactusproxy/platform"
)

// Book is one host's knowledge of suspects. It is not safe for concurrent use.
type Book struct {
	limits  Limits
	entries map[Digest]*entry
	// losses are the targets lost of late, with the last loss of each.
	losses map[platform.HostID]Loss
	// cleared are the requests lately proved innocent: what other hosts still
	// tell of them is out of date.
	cleared map[Digest]time.Time
}

// NewBook returns an empty book.
func NewBook(l Limits) *Book {
	return &Book{
		limits:  l,
		entries: make(map[Digest]*entry),
		losses:  make(map[platform.HostID]Loss),
		cleared: make(map[Digest]time.Time),
	}
}

// Len returns the number of requests remembered.
func (b *Book) Len() int { return len(b.entries) }

// State returns what is held of a request. Times that have passed take effect
// here: a suspect is forgotten, a quarantined request becomes a suspect.
func (b *Book) State(now time.Time, d Digest) State {
	e := b.entries[d]
	if e == nil {
		return Clean
	}
	switch e.state {
	case Suspect:
		if now.Sub(e.sent) >= b.limits.SuspectFor {
			delete(b.entries, d)
			return Clean
		}
	case Quarantined:
		b.settle(now, e)
		if now.Sub(e.sent) >= b.limits.QuietFor || now.Sub(e.since) >= b.limits.QuarantineMax {
			b.release(e, now)
		}
	}
	return e.state
}

// Settled reports whether a request is to be refused, not held.
func (b *Book) Settled(now time.Time, d Digest) bool {
	return b.State(now, d) == Quarantined && b.entries[d].settled
}

// settle decides on a quarantine once it is old enough.
//
// Failure: the targets of a zone die a few milliseconds apart. Symptom: a request
// that was in flight at one and is sent again at once to another looks as if it
// crashed both, and is refused from then on. Until the moment has passed the
// request is held; by then the other losses are known, and show that it need not
// be the cause.
func (b *Book) settle(now time.Time, e *entry) {
	if e.settled || now.Sub(e.since) < b.limits.Settle {
		return
	}
	if !e.accused() || b.unexplained(e) >= b.limits.MassLoss {
		e.setState(Suspect, now)
		e.excused = now
		return
	}
	e.settled = true
}

// release makes a quarantined request a suspect of one loss: one more loss in a
// trial quarantines it again.
func (b *Book) release(e *entry, now time.Time) {
	e.setState(Suspect, now)
	e.losses = e.losses[:1]
	e.losses[0].Trial = false
	e.trial = trial{}
	e.sent = now
}

// Sent notes that a request came again, and returns its state.
func (b *Book) Sent(now time.Time, d Digest) State {
	s := b.State(now, d)
	if e := b.entries[d]; e != nil {
		e.sent = now
	}
	return s
}

// BrokeOff takes in a run that broke off and returns the request's state.
func (b *Book) BrokeOff(now time.Time, r Run) State {
	b.noteLoss(now, r.Loss)
	e := b.ensure(r.Digest, now)
	e.sent = now
	e.good = e.good || r.KnownGood
	if e.add(r.Loss, b.limits.Wave) && e.accused() {
		e.setState(Quarantined, now)
	}
	return e.state
}

// Lost takes in that a target can not be reached any more, whatever ran on it.
func (b *Book) Lost(now time.Time, target platform.HostID) {
	b.noteLoss(now, Loss{Target: target, At: now})
}

// ensure returns the entry of a request, making a suspect of a clean one.
func (b *Book) ensure(d Digest, now time.Time) *entry {
	if e := b.entries[d]; e != nil {
		return e
	}
	b.makeRoom()
	e := &entry{state: Suspect, since: now, sent: now}
	b.entries[d] = e
	return e
}

// unexplained counts the targets lost in the wave of this quarantine that no
// quarantined request ran on. Two requests that crash targets at the same time
// explain each other's.
func (b *Book) unexplained(e *entry) int {
	n := 0
	for id, l := range b.losses {
		near := apart(l.At, e.since) < b.limits.Wave && l.At.After(e.excused)
		if near && !b.explained(id) {
			n++
		}
	}
	return n
}

func (b *Book) explained(id platform.HostID) bool {
	for _, e := range b.entries {
		if e.state == Quarantined && e.lost(id) {
			return true
		}
	}
	return false
}

func (b *Book) noteLoss(now time.Time, l Loss) {
	for id, old := range b.losses {
		if now.Sub(old.At) >= 2*b.limits.Wave {
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
func (b *Book) Clear(now time.Time, d Digest) bool {
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
func (b *Book) Sweep(now time.Time) {
	for d := range b.entries {
		b.State(now, d)
	}
	for d, at := range b.cleared {
		if now.Sub(at) >= b.limits.SuspectFor {
			delete(b.cleared, d)
		}
	}
}

// makeRoom forgets one request if the book is full: the suspect that was sent
// the longest ago or, there being none, the quarantined one.
func (b *Book) makeRoom() {
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
func (b *Book) Digests(s State) []Digest {
	var out []Digest
	for d, e := range b.entries {
		if e.state == s {
			out = append(out, d)
		}
	}
	return out
}

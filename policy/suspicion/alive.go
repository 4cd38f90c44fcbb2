package suspicion

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Answer is a complete answer of a target to a probe or a request.
type Answer struct {
	Target ports.RunID
	// Sent is when the answered request was sent, Opened when its connection was opened; the zero time
	// if that is unknown.
	Sent, Opened time.Time
	// Cold is set if the target reports that it is warming up, so that it may have just started.
	Cold bool
}

// Proof states that losses of a target between two times were no crashes. The interval excludes From
// and includes Until.
type Proof struct {
	Target      ports.RunID
	From, Until time.Time
	// Sure is the time since which the target can not have been restarted. A loss before that is
	// withdrawn too, but only a limited number of times for each request.
	Sure time.Time
}

func (p Proof) covers(at time.Time) bool { return at.After(p.From) && !at.After(p.Until) }

// Proof returns what an answer proves.
//
// A process that is exiting may answer on some connections after it has closed others, so that an
// answer proves nothing about losses within ProofGrace before its request was sent. A connection
// does not survive its process, and no target restarts within RestartTime: an answer on a connection
// that is older than the end of that time is proof however late it arrives. An answer on a newer
// one may come from another run at the same address, so that it counts for less time than targets
// take to start.
func (l Limits) Proof(a Answer) Proof {
	if a.Opened.IsZero() {
		a.Opened = a.Sent
	}
	p := Proof{
		Target: a.Target,
		Until:  a.Sent.Add(-l.ProofGrace),
		Sure:   a.Opened.Add(-l.RestartTime),
	}
	p.From = p.Sure
	if since := a.Sent.Add(-l.proofWindow(a.Target)); !a.Cold && since.Before(p.From) {
		p.From = since
	}
	return p
}

// proofWindow returns how long after a loss an answer on a newer connection is proof. A restart of a
// target whose incarnation is known mostly shows in the list of targets.
func (l Limits) proofWindow(target ports.RunID) time.Duration {
	if target.HasIncarnation() {
		return l.LossWindow
	}
	return l.ProofWindow
}

// Exonerated is a request that lost its last loss.
type Exonerated struct {
	Digest Digest
	// Was is its state before.
	Was State
}

// Withdrawal lists the requests that lost a loss, with their states before. Exonerated are those
// that have none left and are cleared.
type Withdrawal struct {
	Affected   []Exonerated
	Exonerated []Exonerated
}

// RecordAlive records that a target was reached after its connections to some host broke, so that
// it did not crash. Its losses within the loss window are withdrawn, and the requests that have no
// others are cleared and returned. An earlier loss may be one of a run at the same address before.
func (b *Tracker) RecordAlive(now time.Time, target ports.RunID) []Exonerated {
	return b.RecordProof(now, b.reached(now, target), true).Exonerated
}

// reached returns the proof that another host reached a target.
func (b *Tracker) reached(now time.Time, target ports.RunID) Proof {
	from := now.Add(-b.limits.LossWindow)
	return Proof{Target: target, From: from, Sure: from, Until: now}
}

// RecordReached is like RecordAlive and returns the proof to send to other hosts.
func (b *Tracker) RecordReached(now time.Time, target ports.RunID) (Proof, Withdrawal) {
	p := b.reached(now, target)
	return p, b.RecordProof(now, p, true)
}

// RecordAnswer records an answer of a target to this host, and returns what it proves and which
// losses were withdrawn for it. Without suspicion against the target it does nothing.
func (b *Tracker) RecordAnswer(now time.Time, a Answer) (Proof, Withdrawal) {
	p := b.limits.Proof(a)
	if !p.From.Before(p.Until) || !b.suspected(a.Target) {
		return p, Withdrawal{}
	}
	return p, b.RecordProof(now, p, true)
}

// suspected reports whether any loss of a target is recorded, or withdrawn without being sure.
func (b *Tracker) suspected(target ports.RunID) bool {
	if _, ok := b.losses[target]; ok {
		return true
	}
	if !b.lossTargets[target] {
		return false
	}
	for _, e := range b.entries {
		if e.lostWith(target) {
			return true
		}
	}
	for _, list := range b.withdrawn {
		if slices.ContainsFunc(list, func(l Loss) bool { return l.Target == target }) {
			return true
		}
	}
	return false
}

// RecordProof withdraws the losses that a proof covers. Proofs that other hosts found do not
// withdraw losses that this host observed: by its age, a delayed proof may seem later than such a
// loss. This host proves those itself.
func (b *Tracker) RecordProof(now time.Time, p Proof, own bool) (w Withdrawal) {
	known := b.alive[p.Target]
	if own {
		known.own = known.own.merge(p)
	} else {
		known.received = known.received.merge(p)
	}
	b.alive[p.Target] = known
	if l, ok := b.losses[p.Target]; ok && known.covers(l) {
		delete(b.losses, p.Target)
	}
	b.confirmWithdrawn(p.Target)
	for d, e := range b.entries {
		b.withdrawFrom(now, d, e, p.Target, &w)
	}
	return w
}

// confirmWithdrawn forgets withdrawals that a later proof shows to be right, so that they no longer count
// against their requests.
func (b *Tracker) confirmWithdrawn(target ports.RunID) {
	known := b.alive[target]
	for d, list := range b.withdrawn {
		list = slices.DeleteFunc(list, func(l Loss) bool { return l.Target == target && known.covers(l) && known.sure(l) })
		if b.withdrawn[d] = list; len(list) == 0 {
			delete(b.withdrawn, d)
		}
	}
}

// withdrawFrom withdraws the losses of one request at a target, as far as they are disproved.
func (b *Tracker) withdrawFrom(now time.Time, d Digest, e *entry, target ports.RunID, w *Withdrawal) {
	before := len(e.losses)
	confirmed := before == 0 && len(b.withdrawn[d]) == 0
	e.losses = slices.DeleteFunc(e.losses, func(l Loss) bool {
		return l.Target == target && b.disproved(now, d, l)
	})
	if len(e.losses) == before && !confirmed {
		return
	}
	delete(b.accused, d)
	x := Exonerated{Digest: d, Was: e.state}
	w.Affected = append(w.Affected, x)
	switch {
	case len(e.losses) == 0 && len(b.withdrawn[d]) > 0:
		// The targets may have been restarted, so that the request runs alone until it is answered.
		e.setState(Suspect, now)
	case len(e.losses) == 0:
		w.Exonerated = append(w.Exonerated, x)
		delete(b.entries, d)
	case e.state == Quarantined && !b.stillBlamed(e):
		e.setState(Suspect, now)
	}
}

// proofs are the proofs for one target: those that this host found, and those received from others.
type proofs struct{ own, received Proof }

// covers reports whether there is a proof against a loss.
func (k proofs) covers(l Loss) bool {
	return k.own.covers(l.At) || !l.Own && k.received.covers(l.At)
}

// sure reports whether such a proof excludes a restart since the loss.
func (k proofs) sure(l Loss) bool {
	sure := func(p Proof) bool { return p.covers(l.At) && l.At.After(p.Sure) }
	return sure(k.own) || !l.Own && sure(k.received)
}

// merge returns the union of two proofs if they overlap, and the newer one otherwise.
func (p Proof) merge(o Proof) Proof {
	if p.Until.After(o.Until) {
		p, o = o, p
	}
	if o.From.After(p.Until) || p.Until.IsZero() {
		return o
	}
	if p.From.Before(o.From) {
		o.From = p.From
	}
	if p.Sure.Before(o.Sure) && !o.Sure.After(p.Until) {
		o.Sure = p.Sure
	}
	return o
}

// disproved reports whether a loss of a request is no evidence. If the target may have been
// restarted since, only the first MaxWithdrawn losses of a request without a complete response are
// withdrawn: while hosts do not know of restarts yet, each crash would be disproved by the next run.
func (b *Tracker) disproved(now time.Time, d Digest, l Loss) bool {
	known, ok := b.alive[l.Target]
	if !ok || !known.covers(l) {
		return false
	}
	return known.sure(l) || b.withdraw(now, d, l)
}

// withdraw reports whether one more loss of a request may be withdrawn, and records it. None is of a request that
// was released although it is sent.
func (b *Tracker) withdraw(now time.Time, d Digest, l Loss) bool {
	list := slices.DeleteFunc(b.withdrawn[d], func(old Loss) bool {
		return now.Sub(old.At) >= b.limits.WithdrawalMemory
	})
	same := func(old Loss) bool {
		return old.Target == l.Target && absDiff(old.At, l.At) < b.limits.ProofGrace
	}
	allowed := slices.ContainsFunc(list, same)
	e := b.entries[d]
	released := e != nil && e.releases > 0
	if !allowed && !released && len(list) < b.limits.MaxWithdrawn {
		list, allowed = append(list, l), true
	}
	if len(b.withdrawn) >= b.limits.MaxEntries {
		clear(b.withdrawn)
	}
	if len(list) > 0 {
		b.withdrawn[d] = list
	}
	return allowed
}

// awaitsProof reports whether a target that a request lost is still being verified, or another one
// whose loss would excuse it. Of the latter, only losses until SettleTime matter.
func (b *Tracker) awaitsProof(now time.Time, e *entry) bool {
	pending := func(l Loss) bool { return l.Pending && now.Sub(l.At) < b.limits.VerifyTimeout }
	if slices.ContainsFunc(e.losses, pending) {
		return true
	}
	for _, l := range b.losses {
		if pending(l) && b.relevant(e, l) {
			return true
		}
	}
	return false
}

// relevant reports whether a loss may excuse a request that is quarantined: it is close to the
// beginning of the quarantine and later than the last excuse.
func (b *Tracker) relevant(e *entry, l Loss) bool {
	return e.since.Sub(l.At) < b.limits.LossWindow && l.At.Sub(e.since) <= b.limits.SettleTime && l.At.After(e.excusedAt)
}

// EndVerification records that this host no longer looks for a proof that a target is alive.
func (b *Tracker) EndVerification(target ports.RunID) {
	if l, ok := b.losses[target]; ok && l.Own {
		l.Pending = false
		b.losses[target] = l
	}
	for _, e := range b.entries {
		for i, l := range e.losses {
			if l.Own && l.Target == target {
				e.losses[i].Pending = false
			}
		}
	}
}

// Unproven returns the time of the last loss of a target that this host observed and that is
// neither withdrawn nor older than the loss window.
func (b *Tracker) Unproven(now time.Time, target ports.RunID) (last time.Time, ok bool) {
	for _, e := range b.entries {
		for _, l := range e.losses {
			if l.Own && l.Target == target && now.Sub(l.At) < b.limits.LossWindow && l.At.After(last) {
				last, ok = l.At, true
			}
		}
	}
	return last, ok
}

// Proofs returns the proofs against the losses of a record from a host that does not know of them.
func (b *Tracker) Proofs(now time.Time, r Record) (out []Proof) {
	for _, l := range r.Losses {
		known := b.alive[l.Target]
		for _, p := range []Proof{known.own, known.received} {
			if p.covers(l.at(now).At) {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// sweepProofs drops proofs and withdrawals that no longer matter.
func (b *Tracker) sweepProofs(now time.Time) {
	for target, known := range b.alive {
		if now.Sub(known.own.Until) >= b.limits.SuspectTTL && now.Sub(known.received.Until) >= b.limits.SuspectTTL {
			delete(b.alive, target)
		}
	}
	for d, list := range b.withdrawn {
		if now.Sub(list[len(list)-1].At) >= b.limits.WithdrawalMemory {
			delete(b.withdrawn, d)
		}
	}
}

// ProofRecord is a Proof as sent between hosts; its times are sent as ages.
type ProofRecord struct {
	Target     ports.RunID   `msgpack:"t"`
	SinceFrom  time.Duration `msgpack:"f"`
	SinceSure  time.Duration `msgpack:"s"`
	SinceUntil time.Duration `msgpack:"u"`
}

// Record returns the proof as sent to another host.
func (p Proof) Record(now time.Time) ProofRecord {
	return ProofRecord{Target: p.Target, SinceFrom: now.Sub(p.From), SinceSure: now.Sub(p.Sure), SinceUntil: now.Sub(p.Until)}
}

// Proof returns the proof by this host's clock, and false if the record is malformed. Until is later by
// reorderAllowance, since the record of a loss may have taken longer to arrive than the proof.
func (r ProofRecord) Proof(now time.Time) (Proof, bool) {
	until := now.Add(reorderAllowance - r.SinceUntil)
	p := Proof{Target: r.Target, From: now.Add(-r.SinceFrom), Sure: now.Add(-r.SinceSure), Until: until}
	return p, r.SinceUntil >= 0 && r.SinceFrom > r.SinceUntil
}

package suspicion

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Record is the state of a request as sent between hosts. Times are sent as ages, because the
// clocks of two hosts may differ.
type Record struct {
	Digest Digest `msgpack:"d"`
	State  State  `msgpack:"s"`
	// Age is how long the state has been in effect, SinceSent how long ago the request was last
	// sent.
	Age       time.Duration `msgpack:"a"`
	SinceSent time.Duration `msgpack:"q"`
	Losses    []LossRecord  `msgpack:"l"`
	// Group is the digest of the request's group; IsGroup is set if the record is one of a group.
	Group   Digest `msgpack:"y"`
	IsGroup bool   `msgpack:"z"`
	// Probation is how long a group is tracked for losses that may be chance.
	Probation time.Duration `msgpack:"w"`
	// Good holds requests of a group that were answered while it was tracked; empty where nothing is handed over.
	Good []Digest `msgpack:"o"`
	// KnownGood is set if some host remembers a complete response to the request.
	KnownGood bool `msgpack:"g"`
	// Uncertain is BrokenRun.Uncertain, and Releases how often the request was released.
	Uncertain bool `msgpack:"u"`
	Releases  int  `msgpack:"n"`
	// Excuses is how often the request was excused.
	Excuses int `msgpack:"x"`
	// Settled is set if the sender has confirmed the quarantine.
	Settled bool `msgpack:"c"`
}

// LossRecord is a Loss as sent between hosts; SinceLoss is the time since it.
type LossRecord struct {
	Target    ports.RunID   `msgpack:"t"`
	SinceLoss time.Duration `msgpack:"a"`
	Trial     bool          `msgpack:"r"`
	Pending   bool          `msgpack:"p"`
	Sent      Part          `msgpack:"b"`
}

// at returns the loss by this host's clock.
func (r LossRecord) at(now time.Time) Loss {
	return Loss{Target: r.Target, At: now.Add(-max(0, r.SinceLoss)), Trial: r.Trial, Pending: r.Pending, Sent: r.Sent}
}

// Record returns the state of a request, and false if it is clean. It has no losses if they were all
// withdrawn but the request is still to run alone; other hosts ignore such a record.
func (b *Tracker) Record(now time.Time, d Digest) (Record, bool) {
	if b.State(now, d) == Clean {
		return Record{}, false
	}
	e := b.entries[d]
	r := Record{
		Digest: d, State: e.state, Age: now.Sub(e.since), SinceSent: now.Sub(e.sent),
		KnownGood: e.answered, Uncertain: e.uncertain, Releases: e.releases,
		Excuses: e.excuses, Settled: e.settled,
		Group: e.group, IsGroup: e.isGroup, Probation: e.probation,
	}
	for _, l := range e.losses {
		r.Losses = append(r.Losses, LossRecord{Target: l.Target, SinceLoss: now.Sub(l.At), Trial: l.Trial, Pending: l.Pending, Sent: l.Sent})
	}
	return r, true
}

// valid reports whether a record is well-formed; it comes from another host.
func (r Record) valid() bool {
	if r.State != Suspect && r.State != Quarantined {
		return false
	}
	return r.Age >= 0 && r.SinceSent >= 0 && len(r.Losses) > 0 && len(r.Losses) <= maxLosses
}

// Merge applies a record from another host. It reports whether that host is behind, because the
// request has been cleared since. New losses count as evidence as if they had been observed here;
// a quarantine is adopted.
func (b *Tracker) Merge(now time.Time, r Record, knownGood bool) (behind bool) {
	if !r.valid() {
		return false
	}
	if at, ok := b.cleared[r.Digest]; ok && !now.Add(-r.newest()).After(at) {
		return true
	}
	if b.probationOver(now, r) {
		return false
	}
	r.Losses = slices.DeleteFunc(slices.Clone(r.Losses), func(l LossRecord) bool {
		return b.disproved(now, r.Digest, l.at(now))
	})
	if len(r.Losses) == 0 {
		return b.entries[r.Digest] == nil
	}
	known := b.entries[r.Digest] != nil
	e := b.ensure(r.Digest, now)
	lost, settled := e.lost, e.settled
	if !known {
		// Or hosts that tell each other of a suspect would never forget it.
		e.since, e.sent = now.Add(-r.Age), now.Add(-r.SinceSent)
	}
	e.group, e.isGroup, e.probation = r.Group, r.IsGroup, max(e.probation, r.Probation)
	e.answered = e.answered || r.KnownGood || knownGood
	e.uncertain = e.uncertain || r.Uncertain
	for _, d := range r.Good {
		e.addGood(d)
	}
	outdated := b.mergeReleases(now, e, r.Releases)
	if at := now.Add(-r.SinceSent); e.sent.Before(at) {
		e.sent = at
	}
	fresh := b.mergeLosses(now, e, r.Losses)
	e.mergeExcuses(r.Excuses)
	age := time.Duration(0)
	if r.State == Quarantined {
		age = r.Age
	}
	if e.state == Suspect && b.blamed(e) && (fresh || r.State == Quarantined && !outdated) {
		b.accuse(r.Digest, e, now.Add(-age))
		// A quarantine that the sender has not confirmed may be dropped for a loss that excuses the request.
		// Of an older one it is no longer known which targets were lost with it.
		e.settled = r.Settled || age >= b.limits.LossWindow
	}
	if news := e.lost != lost || e.settled != settled; news && !e.answered {
		b.trackGroup(now, e.group)
	}
	return false
}

// newest returns the age of the newest loss, or of the state if all losses were withdrawn.
func (r Record) newest() time.Duration {
	if len(r.Losses) == 0 {
		return max(0, r.Age)
	}
	age := r.Losses[0].SinceLoss
	for _, l := range r.Losses {
		age = min(age, l.SinceLoss)
	}
	return max(0, age)
}

// mergeLosses records losses and reports whether there is new evidence within the loss window.
// Older losses are no evidence by themselves, since it is no longer known which other targets
// were lost with them.
func (b *Tracker) mergeLosses(now time.Time, e *entry, records []LossRecord) bool {
	fresh := false
	for _, t := range records {
		l := t.at(now)
		b.lossTargets[l.Target] = true
		recent := now.Sub(l.At) < b.limits.LossWindow
		if recent {
			b.recordLoss(now, l)
		}
		if e.add(l, b.limits.LossWindow) && recent {
			fresh = true
		}
	}
	return fresh
}

// mergeExcuses adopts how often another host has excused a request, so that one that crashes targets is not
// excused by each host in turn.
func (e *entry) mergeExcuses(excuses int) {
	if excuses <= e.excuses {
		return
	}
	e.excuses = excuses
	e.excusedElsewhere = e.state == Quarantined && !e.settled
}

// ChangedWithin reports whether something changed the record within the last age.
func (r Record) ChangedWithin(age time.Duration) bool {
	return r.newest() <= age || r.State == Quarantined && r.Age <= age
}

// Newest returns up to n records, the most recently sent requests first.
func (b *Tracker) Newest(now time.Time, n int) []Record {
	b.Sweep(now)
	digests := make([]Digest, 0, len(b.entries))
	for d := range b.entries {
		digests = append(digests, d)
	}
	slices.SortFunc(digests, func(x, y Digest) int {
		return b.entries[y].sent.Compare(b.entries[x].sent)
	})
	var out []Record
	for _, d := range digests[:min(n, len(digests))] {
		if r, ok := b.Record(now, d); ok {
			out = append(out, r)
		}
	}
	return out
}

package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// entry is what this host holds of one entry host.
type entry struct {
	rec Record
	// heard is when there last was a sign of life.
	heard time.Time
	// silent is this host's own doubt, not told to others.
	silent bool
	// probing is set while pings are on their way.
	probing     bool
	listed      bool
	listLeaving bool // marked in the list during this run of the daemon
	listMark    bool // marked in the present list
}

// doubted reports whether this host takes it for out of reach.
func (e *entry) doubted() bool { return e.rec.Suspected || e.silent || e.rec.Waking }

func (e *entry) leaving() bool { return e.rec.Leaving || e.listLeaving }

func (e *entry) state() blackboard.MemberState {
	switch {
	case e.leaving():
		return blackboard.MemberLeaving
	case e.doubted():
		return blackboard.MemberSuspected
	default:
		return blackboard.MemberLive
	}
}

// alive is a sign of life.
func (e *entry) alive(now time.Time) {
	e.heard = now
	e.silent = false
}

// view holds all entries and the rules by which they change. It has no clock
// and no lock.
type view struct {
	self    ports.HostID
	entries map[ports.HostID]*entry
	// listRead is set once the platform's list was read.
	listRead bool
	rules    rules
}

// rules are the same for all hosts. Tests make the ring small, and break a rule
// to show that they would notice.
type rules struct {
	ignoreIncarnation bool
	// meshHosts and watchers replace the constants if they are not 0.
	meshHosts, watchers int
}

func newView(self Record, now time.Time) *view {
	v := &view{self: self.ID, entries: make(map[ports.HostID]*entry)}
	v.entries[self.ID] = &entry{rec: self, heard: now}
	return v
}

func (v *view) own() *entry { return v.entries[v.self] }

// change alters this host's own record and gives it the next Seq.
func (v *view) change(f func(r *Record)) bool {
	e := v.own()
	next := e.rec
	f(&next)
	if next == e.rec {
		return false
	}
	next.Seq++
	e.rec = next
	return true
}

// merged tells what became of a record that came in.
type merged uint8

const (
	// mergeOld records say nothing new.
	mergeOld merged = iota
	// mergeNew records were taken and are worth passing on.
	mergeNew
	// mergeRefuted records doubted this host, which now has a higher Seq.
	mergeRefuted
	// mergeContested records are not taken: one of this record and the one
	// held doubts the host, and the other shows that it need not be so. The
	// doubt is sent to that host, which refutes it.
	mergeContested
)

// merge takes in a record that another host sent.
func (v *view) merge(r Record, now time.Time) merged {
	if r.ID == v.self {
		return v.mergeSelf(r)
	}
	e := v.entries[r.ID]
	if e == nil {
		return v.learn(r, now)
	}
	if !v.newer(r, e.rec) {
		if v.newer(e.rec, r) && e.rec.Suspected && e.rec.Seq == r.Seq {
			// After a split has healed, the other side never doubted this host.
			return mergeContested
		}
		return mergeOld
	}
	if r.Suspected && now.Sub(e.heard) < silentAfter {
		// A host that was itself cut off comes back with doubts about all
		// others. Taking them would move every role for a moment; what this
		// host heard itself says otherwise.
		return mergeContested
	}
	if r.Incarnation == e.rec.Incarnation {
		r.Leaving = r.Leaving || e.rec.Leaving
	}
	if r.Incarnation > e.rec.Incarnation {
		e.listLeaving = e.listMark
	}
	e.rec = r
	if !r.Suspected {
		e.alive(now)
	}
	return mergeNew
}

func (v *view) newer(r, than Record) bool {
	if v.rules.ignoreIncarnation {
		r.Incarnation, than.Incarnation = 0, 0
	}
	return r.newer(than)
}

// learn adds a host that this one did not know. One that is already doubted
// is not worth adding: it would only come back after it had been forgotten.
func (v *view) learn(r Record, now time.Time) merged {
	if r.Suspected || r.ID == "" {
		return mergeOld
	}
	v.entries[r.ID] = &entry{rec: r, heard: now}
	return mergeNew
}

// mergeSelf answers a doubt, or a record of an earlier run that had a higher
// incarnation because the clock went back, by outranking it.
func (v *view) mergeSelf(r Record) merged {
	e := v.own()
	if !r.newer(e.rec) {
		return mergeOld
	}
	if r.Incarnation > e.rec.Incarnation {
		e.rec.Incarnation = r.Incarnation + 1
	}
	e.rec.Seq = max(e.rec.Seq, r.Seq) + 1
	return mergeRefuted
}

// suspect doubts a host that did not answer. If told, others will hear of it.
func (v *view) suspect(id ports.HostID, told bool) bool {
	e := v.entries[id]
	if e == nil || e.rec.Suspected || e.silent && !told {
		return false
	}
	e.silent = true
	e.rec.Suspected = told
	return true
}

// applyList takes in the entry hosts of a list.
func (v *view) applyList(hosts []ports.Host, now time.Time) {
	v.listRead = true
	for _, e := range v.entries {
		e.listed = false
	}
	for _, h := range hosts {
		if h.Role != ports.RoleEntry {
			continue
		}
		e := v.entries[h.ID]
		if e == nil {
			e = &entry{rec: recordOf(h), heard: now}
			v.entries[h.ID] = e
		}
		e.listed = true
		// A host that began to leave does not come back without a restart, even
		// if the mark is taken back: its roles and shares are handed over.
		e.listMark = h.State == ports.HostLeaving
		e.listLeaving = e.listLeaving || e.listMark
	}
}

// forget drops hosts that left the list and have been silent for long.
func (v *view) forget(now time.Time) bool {
	n := len(v.entries)
	for id, e := range v.entries {
		if id == v.self || e.listed || now.Sub(e.heard) < forgetAfter {
			continue
		}
		if e.doubted() || e.leaving() {
			delete(v.entries, id)
		}
	}
	return len(v.entries) != n
}

// digest is equal on two hosts that hold the same records.
func (v *view) digest() uint64 {
	var sum uint64
	var b [26]byte
	for id, e := range v.entries {
		binary.BigEndian.PutUint64(b[0:], xxhash.Sum64String(string(id)))
		binary.BigEndian.PutUint64(b[8:], e.rec.Incarnation)
		binary.BigEndian.PutUint64(b[16:], e.rec.Seq)
		b[24] = 0
		if e.rec.Suspected {
			b[24] = 1
		}
		sum ^= xxhash.Sum64(b[:])
	}
	return sum
}

func (v *view) records() []Record {
	out := make([]Record, 0, len(v.entries))
	for _, e := range v.entries {
		out = append(out, e.rec)
	}
	return out
}

// members is the view for the blackboard.
func (v *view) members() *blackboard.Members {
	out := &blackboard.Members{Self: v.self, Members: make([]blackboard.Member, 0, len(v.entries)), Complete: v.listRead}
	for _, e := range v.entries {
		m := blackboard.Member{
			Host:           e.rec.host(),
			Incarnation:    e.rec.Incarnation,
			State:          e.state(),
			Ready:          e.rec.Ready,
			ConfigSequence: e.rec.Config,
		}
		if e.leaving() {
			m.Host.State = ports.HostLeaving
		}
		out.Members = append(out.Members, m)
	}
	slices.SortFunc(out.Members, func(a, b blackboard.Member) int {
		return strings.Compare(string(a.Host.ID), string(b.Host.ID))
	})
	return out
}

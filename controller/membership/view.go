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

// entry is this host's state of one entry host.
type entry struct {
	rec Record
	// lastSeen is the time of the last sign of life.
	lastSeen time.Time
	// silent is a local suspicion: this host could not reach the entry's host.
	silent bool
	// probing is set while a probe is in progress.
	probing bool
	// listed is set if the host is in the current list.
	listed bool
	// wasListedLeaving is set once a list has marked the host as leaving during its current
	// run, listedLeaving if the current list does.
	wasListedLeaving bool
	listedLeaving    bool
}

// unreachable reports whether the host is to be treated as unreachable.
func (e *entry) unreachable() bool { return e.rec.Suspected || e.silent || e.rec.Resuming }

func (e *entry) leaving() bool { return e.rec.Leaving || e.wasListedLeaving }

func (e *entry) state() blackboard.MemberState {
	switch {
	case e.leaving():
		return blackboard.MemberLeaving
	case e.unreachable():
		return blackboard.MemberSuspected
	default:
		return blackboard.MemberLive
	}
}

// markAlive records a sign of life.
func (e *entry) markAlive(now time.Time) {
	e.lastSeen = now
	e.silent = false
}

// view holds the entries of all known hosts and implements the transitions between their
// states. It has no clock and no lock of its own.
type view struct {
	self    ports.HostID
	entries map[ports.HostID]*entry
	// listRead is set once the platform's list has been read.
	listRead bool
	rules    rules
}

// rules are parameters that tests override: to get a ring with few hosts, and to break
// a rule and verify that the tests detect it. They must be the same on all hosts.
type rules struct {
	ignoreIncarnation bool
	// meshHosts and watchers override the constants meshHosts and ringWatchers if
	// they are not 0.
	meshHosts, watchers int
}

func newView(self Record, now time.Time) *view {
	v := &view{self: self.ID, entries: make(map[ports.HostID]*entry)}
	v.entries[self.ID] = &entry{rec: self, lastSeen: now}
	return v
}

func (v *view) own() *entry { return v.entries[v.self] }

// change applies f to this host's own record and increments its Seq. It returns false
// if f changes nothing.
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

// mergeResult is the outcome of merging a received record.
type mergeResult uint8

const (
	// mergeOld means that the record is not newer than the one held.
	mergeOld mergeResult = iota
	// mergeNew means that the record was stored and should be gossiped.
	mergeNew
	// mergeRefuted means that the record suspected this host, or outranked its own
	// record, and that this host now has a higher Seq.
	mergeRefuted
	// mergeContested means that the record was not stored: either it or the record
	// held suspects the host, and the other gives reason to think that the host is
	// alive. The suspicion is sent to that host, which refutes it.
	mergeContested
)

// merge merges a record received from another host.
func (v *view) merge(r Record, now time.Time) mergeResult {
	if r.ID == v.self {
		return v.mergeSelf(r)
	}
	e := v.entries[r.ID]
	if e == nil {
		return v.addUnknown(r, now)
	}
	if !v.newer(r, e.rec) {
		if v.newer(e.rec, r) && e.rec.Suspected && e.rec.Seq == r.Seq {
			// After a partition has healed: the sender's side never suspected
			// this host.
			return mergeContested
		}
		return mergeOld
	}
	if r.Suspected && now.Sub(e.lastSeen) < heartbeatTimeout {
		// A host that was itself partitioned returns with suspicions of all others.
		// Accepting them would move every role for a moment; this host has heard
		// from the suspect recently.
		return mergeContested
	}
	if r.Incarnation == e.rec.Incarnation {
		r.Leaving = r.Leaving || e.rec.Leaving
	}
	if r.Incarnation > e.rec.Incarnation {
		e.wasListedLeaving = e.listedLeaving
	}
	e.rec = r
	if !r.Suspected {
		e.markAlive(now)
	}
	return mergeNew
}

func (v *view) newer(r, than Record) bool {
	if v.rules.ignoreIncarnation {
		r.Incarnation, than.Incarnation = 0, 0
	}
	return r.newer(than)
}

// addUnknown adds an unknown host. A suspected one is ignored: otherwise a host that this one
// has already forgotten would be added back by others.
func (v *view) addUnknown(r Record, now time.Time) mergeResult {
	if r.Suspected || r.ID == "" {
		return mergeOld
	}
	v.entries[r.ID] = &entry{rec: r, lastSeen: now}
	return mergeNew
}

// mergeSelf refutes a suspicion of this host by outranking it. It does the same to a
// record of an earlier run that has a higher incarnation because the clock was set back.
func (v *view) mergeSelf(r Record) mergeResult {
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

// suspect marks a host that did not answer as suspected. If gossiped is set, the suspicion
// becomes part of its record and is gossiped; otherwise it stays local. suspect returns
// false if nothing changed.
func (v *view) suspect(id ports.HostID, gossiped bool) bool {
	e := v.entries[id]
	if e == nil || e.rec.Suspected || e.silent && !gossiped {
		return false
	}
	e.silent = true
	e.rec.Suspected = gossiped
	return true
}

// applyList merges the entry hosts of a list.
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
			e = &entry{rec: recordOf(h), lastSeen: now}
			v.entries[h.ID] = e
		}
		e.listed = true
		// A leaving host does not become live again without a restart, even if
		// the mark is withdrawn: its roles and shares have been handed over.
		e.listedLeaving = h.State == ports.HostLeaving
		e.wasListedLeaving = e.wasListedLeaving || e.listedLeaving
	}
}

// expire drops suspected and leaving hosts that are not listed and have been silent for
// expireAfter. It reports whether it dropped any.
func (v *view) expire(now time.Time) bool {
	n := len(v.entries)
	for id, e := range v.entries {
		if id == v.self || e.listed || now.Sub(e.lastSeen) < expireAfter {
			continue
		}
		if e.unreachable() || e.leaving() {
			delete(v.entries, id)
		}
	}
	return len(v.entries) != n
}

// digest returns an order-independent hash of the IDs, versions and suspicions of all
// records. It is equal on hosts that hold the same records.
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

// members returns the view in the form that is published on the blackboard.
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

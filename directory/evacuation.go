package directory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// Evacuation is an operator's instruction that the targets of an availability zone get no more
// requests, or the end of that instruction.
type Evacuation struct {
	Zone string `msgpack:"zone"`
	// Revision is that of the evacuation's entry or, once it has ended, that of the entry's
	// removal.
	Revision Revision `msgpack:"revision"`
	Ended    bool     `msgpack:"ended"`
}

// newer reports whether an evacuation replaces another one of the same zone. At equal revisions
// the end wins: a removal inferred from a full read has the revision of the read.
func (e Evacuation) newer(than Evacuation) bool {
	return e.Revision > than.Revision || e.Revision == than.Revision && e.Ended && !than.Ended
}

// EvacuationState is an evacuation as known to a host.
type EvacuationState struct {
	Evacuation
	// Since is when this host learned of the evacuation or, once that has ended, of its end;
	// zero for an end of an evacuation that this host never knew.
	Since time.Time
}

// maxEndedEvacuations bounds the ended evacuations that are remembered, some 100 bytes each:
// operators may name any number of zones over the years.
const maxEndedEvacuations = 256

// Evacuations are the zone evacuations known to one host, by zone. Merging is idempotent and
// does not depend on order. The zero value is empty. It is not safe for concurrent use.
//
// Ended evacuations are remembered as well, so that a host that was cut off does not bring them
// back.
type Evacuations struct {
	zones  map[string]EvacuationState
	newest Revision
	// completeAt is the newest revision as of which all evacuations are known, 0 if they never
	// were.
	completeAt Revision
}

// Newest returns the highest revision of evacuations that the host has seen.
func (e *Evacuations) Newest() Revision { return e.newest }

// Digest is equal on hosts that have the same evacuations in force.
func (e *Evacuations) Digest() uint64 {
	var sum uint64
	for _, o := range e.zones {
		if !o.Ended {
			sum ^= xxhash.Sum64String(fmt.Sprint(o.Zone, " ", o.Revision))
		}
	}
	return sum
}

// Behind reports whether another host, given its newest revision and digest, knows of an
// evacuation or of an end that this host lacks.
//
// Comparing revisions is not enough: the newest ones may be equal although an earlier evacuation
// was lost. Hosts with the same evacuations in force need no exchange.
func (e *Evacuations) Behind(newest Revision, digest uint64) bool {
	return e.newest <= newest && e.Digest() != digest
}

// Begins reports whether an evacuation would empty a zone that isn't evacuated yet.
func (e *Evacuations) Begins(o Evacuation) bool {
	known, ok := e.zones[o.Zone]
	return !o.Ended && o.Revision > e.completeAt && (!ok || known.Ended && o.newer(known.Evacuation))
}

// Active reports whether a zone is evacuated.
func (e *Evacuations) Active(zone string) bool {
	o, ok := e.zones[zone]
	return ok && !o.Ended
}

// EndedAt returns when this host learned that the last evacuation of a zone ended; zero if it
// knows of none or the zone is evacuated again.
func (e *Evacuations) EndedAt(zone string) time.Time {
	if o := e.zones[zone]; o.Ended {
		return o.Since
	}
	return time.Time{}
}

// All returns all known evacuations, ended ones included, sorted by zone.
func (e *Evacuations) All() []EvacuationState {
	list := slices.Collect(maps.Values(e.zones))
	slices.SortFunc(list, func(a, b EvacuationState) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// snapshot returns all known evacuations, for a host that is behind, and the revision as of
// which the list is complete, or 0.
func (e *Evacuations) snapshot() ([]Evacuation, Revision) {
	list := make([]Evacuation, 0, len(e.zones))
	for _, o := range e.zones {
		list = append(list, o.Evacuation)
	}
	return list, e.completeAt
}

// merge merges evacuations, a complete list as of a revision unless that is 0, and returns those
// that were new.
func (e *Evacuations) merge(now time.Time, list []Evacuation, all Revision) (applied []Evacuation) {
	for _, o := range list {
		if e.mergeOne(now, o) {
			applied = append(applied, o)
		}
	}
	if all > e.completeAt {
		applied = append(applied, e.endMissing(now, list, all)...)
		e.completeAt = all
		e.newest = max(e.newest, all)
	}
	e.prune()
	return applied
}

// endMissing ends the evacuations that are missing from a complete list as of a revision, and
// returns the ends.
//
// A host that has just started to watch never knew an evacuation that ended before; the ends
// inferred from its full read tell the other hosts.
func (e *Evacuations) endMissing(now time.Time, list []Evacuation, at Revision) (ends []Evacuation) {
	active := make(map[string]bool, len(list))
	for _, o := range list {
		active[o.Zone] = active[o.Zone] || !o.Ended
	}
	for _, o := range e.All() {
		if o.Ended || active[o.Zone] || o.Revision > at {
			continue
		}
		end := Evacuation{Zone: o.Zone, Revision: at, Ended: true}
		e.mergeOne(now, end)
		ends = append(ends, end)
	}
	return ends
}

// mergeOne merges one evacuation and reports whether it was new. An evacuation that is missing
// from a complete list of a later revision has ended before that.
func (e *Evacuations) mergeOne(now time.Time, o Evacuation) bool {
	e.newest = max(e.newest, o.Revision)
	known, ok := e.zones[o.Zone]
	if ok && !o.newer(known.Evacuation) || !o.Ended && o.Revision <= e.completeAt {
		return false
	}
	invariant.Check(!ok || o.Revision >= known.Revision, invariant.EvacuationForward, "%d after %d", o.Revision, known.Revision)
	next := EvacuationState{Evacuation: o, Since: now}
	switch {
	case o.Ended && !ok:
		next.Since = time.Time{}
	case ok && o.Ended == known.Ended:
		next.Since = known.Since
	}
	if e.zones == nil {
		e.zones = make(map[string]EvacuationState)
	}
	e.zones[o.Zone] = next
	return true
}

// prune drops the oldest ended evacuations beyond maxEndedEvacuations.
func (e *Evacuations) prune() {
	if len(e.zones) <= maxEndedEvacuations {
		return
	}
	var ended []EvacuationState
	for _, o := range e.zones {
		if o.Ended {
			ended = append(ended, o)
		}
	}
	slices.SortFunc(ended, func(a, b EvacuationState) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, o := range ended[:max(0, len(ended)-maxEndedEvacuations)] {
		delete(e.zones, o.Zone)
	}
}

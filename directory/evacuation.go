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

// Evacuation is the operator's order that the targets of an availability zone get no more
// requests, or the end of that order.
type Evacuation struct {
	Zone string `msgpack:"zone"`
	// Revision is that of the order's entry or, once it has ended, that of its removal.
	Revision Revision `msgpack:"revision"`
	Ended    bool     `msgpack:"ended"`
}

// newer reports whether an order replaces another one for the same zone. Of two words of one
// revision the end holds: a removal that was read as a gap in the list has the revision of
// the reading.
func (e Evacuation) newer(than Evacuation) bool {
	return e.Revision > than.Revision || e.Revision == than.Revision && e.Ended && !than.Ended
}

// EvacuationState is what a host knows of one order.
type EvacuationState struct {
	Evacuation
	// Since is when this host heard of the order or, once that has ended, of its end; the
	// zero time for an end without an order that this host knew.
	Since time.Time
}

// maxEndedEvacuations bounds the orders that are remembered after their end, some 100 bytes
// each: operators may name any number of zones over the years.
const maxEndedEvacuations = 256

// Evacuations are the orders that one host knows, by zone. Merging is idempotent and does not
// depend on order. It is not safe for concurrent use. The zero value knows none.
//
// The end of an order is remembered like the order itself, so that a host that was cut off
// does not bring it back.
type Evacuations struct {
	zones  map[string]EvacuationState
	newest Revision
	// wholeAt is the newest revision as of which all orders are known, 0 if they never were.
	wholeAt Revision
}

// Newest returns the highest revision up to which the host has heard of orders.
func (e *Evacuations) Newest() Revision { return e.newest }

// Digest is the same for hosts that know the same orders to be in force.
func (e *Evacuations) Digest() uint64 {
	var sum uint64
	for _, o := range e.zones {
		if !o.Ended {
			sum ^= xxhash.Sum64String(fmt.Sprint(o.Zone, " ", o.Revision))
		}
	}
	return sum
}

// Lacks reports whether another host, whose newest revision and digest are given, knows of an
// order or of the end of one that this one does not.
//
// The newest revisions alone may be the same after one of two orders was lost. Hosts that know the
// same orders to be in force have nothing to tell each other.
func (e *Evacuations) Lacks(newest Revision, digest uint64) bool {
	return e.newest <= newest && e.Digest() != digest
}

// Active reports whether a zone is to get no requests.
func (e *Evacuations) Active(zone string) bool {
	o, ok := e.zones[zone]
	return ok && !o.Ended
}

// EndedAt returns when this host heard of the end of the last order for a zone; the zero time
// if it knows of none, or the zone is evacuated again.
func (e *Evacuations) EndedAt(zone string) time.Time {
	if o := e.zones[zone]; o.Ended {
		return o.Since
	}
	return time.Time{}
}

// All returns every order and end that is known, sorted by zone.
func (e *Evacuations) All() []EvacuationState {
	list := slices.Collect(maps.Values(e.zones))
	slices.SortFunc(list, func(a, b EvacuationState) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// whole returns all that is known, for a host that knows less, and the revision as of which it
// is all there is, or 0.
func (e *Evacuations) whole() ([]Evacuation, Revision) {
	list := make([]Evacuation, 0, len(e.zones))
	for _, o := range e.zones {
		list = append(list, o.Evacuation)
	}
	return list, e.wholeAt
}

// take merges orders, which are all as of a revision unless that is 0, and returns those that
// are news.
func (e *Evacuations) take(now time.Time, list []Evacuation, all Revision) (news []Evacuation) {
	for _, o := range list {
		if e.put(now, o) {
			news = append(news, o)
		}
	}
	if all > e.wholeAt {
		news = append(news, e.endUnnamed(now, list, all)...)
		e.wholeAt = all
		e.newest = max(e.newest, all)
	}
	e.forget()
	return news
}

// endUnnamed ends the orders that are not among all those in force as of a revision, and
// returns their ends.
//
// A host that has just started to watch never knew an order that was taken back before: what it
// does not name tells the others of the end.
func (e *Evacuations) endUnnamed(now time.Time, list []Evacuation, at Revision) (news []Evacuation) {
	stands := make(map[string]bool, len(list))
	for _, o := range list {
		stands[o.Zone] = stands[o.Zone] || !o.Ended
	}
	for _, o := range e.All() {
		if o.Ended || stands[o.Zone] || o.Revision > at {
			continue
		}
		end := Evacuation{Zone: o.Zone, Revision: at, Ended: true}
		e.put(now, end)
		news = append(news, end)
	}
	return news
}

// put merges one order and reports whether it is news. One that this host does not know
// although it knows all as of a later revision has ended before that.
func (e *Evacuations) put(now time.Time, o Evacuation) bool {
	e.newest = max(e.newest, o.Revision)
	had, ok := e.zones[o.Zone]
	if ok && !o.newer(had.Evacuation) || !o.Ended && o.Revision <= e.wholeAt {
		return false
	}
	invariant.Check(!ok || o.Revision >= had.Revision, invariant.EvacuationForward, "%d after %d", o.Revision, had.Revision)
	next := EvacuationState{Evacuation: o, Since: now}
	switch {
	case o.Ended && !ok:
		next.Since = time.Time{}
	case ok && o.Ended == had.Ended:
		next.Since = had.Since
	}
	if e.zones == nil {
		e.zones = make(map[string]EvacuationState)
	}
	e.zones[o.Zone] = next
	return true
}

// forget drops the oldest ends beyond maxEndedEvacuations.
func (e *Evacuations) forget() {
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

package coldstart

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

// OwnerCount returns how many of hosts share the calls that a cold target bears: as many as leave
// each of them at least one call per second.
func OwnerCount(perSecond float64, hosts int) int {
	return min(max(int(math.Floor(perSecond)), 1), hosts)
}

// Ownership is whether a host owns a share of the calls to a cold target, and how many owners
// there are out of how many hosts.
type Ownership struct {
	Owned         bool
	Owners, Hosts int
}

// OwnershipOf returns the ownership of host self for a target that bears perSecond calls while it
// is cold. Owners are chosen among the live hosts of the target's zone, or among all members if
// the zone has none.
func OwnershipOf(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) Ownership {
	inZone := 0
	for _, m := range members {
		if m.State == blackboard.MemberLive && m.Host.Zone == zone {
			inZone++
		}
	}
	ownerZone := zone
	if inZone == 0 {
		ownerZone, inZone = "", len(members)
	}
	owners := OwnerCount(perSecond, inZone)
	return Ownership{
		Owned:  rendezvous.InTopN(self, string(target), ownerZone, owners, members),
		Owners: owners,
		Hosts:  inZone,
	}
}

// Quota is this host's share of the calls that one cold target bears; it is empty for a host that
// does not own a share. The zero value is a share that is not owned. It is not safe for concurrent
// use.
//
// An even split over hundreds of hosts would allow each one call every 20 seconds: unused where
// calls arrive, and a burst beyond the target's capacity if every host may save one up. Therefore
// a few hosts, chosen by rendezvous hashing, own the calls of a target. They agree without
// messages, and hosts that come or go move the ownership of few targets.
//
// What was spent stays spent while the ownership changes: otherwise each new list of hosts would
// give every owner another call.
type Quota struct {
	Ownership
	limiter *rate.Limiter
}

// Assign applies the ownership of a share of perSecond calls.
func (q *Quota) Assign(now time.Time, perSecond float64, o Ownership) {
	q.Ownership = o
	if !o.Owned {
		return
	}
	limit := ownerRate(perSecond, o.Owners)
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(limit, 1)
		return
	}
	q.limiter.SetLimitAt(now, limit)
}

// ownerRate returns the calls per second of each of some owners.
//
// Fractions of a call are left out: an owner with a rate above one call per second sends two within
// some second, and hosts that disagree about the owners would together send twice as many.
func ownerRate(perSecond float64, owners int) rate.Limit {
	if perSecond >= 1 {
		perSecond = math.Floor(perSecond)
	}
	return rate.Limit(perSecond / float64(owners))
}

// Available reports whether the quota allows a call now.
func (q *Quota) Available(now time.Time) bool { return q.Left(now) >= 1 }

// Take takes a call from the quota and reports whether it was allowed.
func (q *Quota) Take(now time.Time) bool { return q.Owned && q.limiter.AllowN(now, 1) }

// Left returns the number of calls that this host may send now.
func (q *Quota) Left(now time.Time) float64 {
	if !q.Owned {
		return 0
	}
	return q.limiter.TokensAt(now)
}

// Spent reports whether calls were taken that count against calls from now on.
func (q *Quota) Spent(now time.Time) bool { return q.limiter != nil && q.limiter.TokensAt(now) < 1 }

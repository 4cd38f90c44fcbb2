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

// Quota is this host's share of the calls that one cold target bears; it is empty for a host that
// does not own a share.
//
// An even split over hundreds of hosts would allow each one call every 20 seconds: unused where
// calls arrive, and a burst beyond the target's capacity if every host may save one up. Therefore
// a few hosts, chosen by rendezvous hashing, own the calls of a target. They agree without
// messages, and hosts that come or go move the ownership of few targets.
type Quota struct {
	limiter *rate.Limiter
	// owners is the number of hosts that share the calls, out of hosts.
	owners, hosts int
}

// NewQuota returns the quota of host self for a target that bears perSecond calls while it is
// cold. Owners are chosen among the live hosts of the target's zone, or among all members if the
// zone has none.
func NewQuota(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) Quota {
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
	if !rendezvous.InTopN(self, string(target), ownerZone, owners, members) {
		return Quota{owners: owners, hosts: inZone}
	}
	return Quota{limiter: rate.NewLimiter(rate.Limit(perSecond/float64(owners)), 1), owners: owners, hosts: inZone}
}

// Owned reports whether this host owns a share.
func (q Quota) Owned() bool { return q.limiter != nil }

// Owners returns the number of hosts that share the calls to the target, and out of how many they
// were chosen.
func (q Quota) Owners() (owners, hosts int) { return q.owners, q.hosts }

// Left returns the number of calls that this host may send now.
func (q Quota) Left(now time.Time) float64 {
	if q.limiter == nil {
		return 0
	}
	return q.limiter.TokensAt(now)
}

// Available reports whether the quota allows a call now.
func (q Quota) Available(now time.Time) bool { return q.limiter != nil && q.limiter.TokensAt(now) >= 1 }

// Take takes a call from the quota and reports whether it was allowed.
func (q Quota) Take(now time.Time) bool { return q.limiter != nil && q.limiter.AllowN(now, 1) }

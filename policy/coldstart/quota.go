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
		return Quota{}
	}
	return Quota{limiter: rate.NewLimiter(rate.Limit(perSecond/float64(owners)), 1)}
}

// Available reports whether the quota allows a call now.
func (q Quota) Available(now time.Time) bool { return q.limiter != nil && q.limiter.TokensAt(now) >= 1 }

// Take takes a call from the quota and reports whether it was allowed.
func (q Quota) Take(now time.Time) bool { return q.limiter != nil && q.limiter.AllowN(now, 1) }

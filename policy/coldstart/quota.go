package coldstart

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

// OwnerCount is how many hosts share the calls that a cold target bears in a second, of so many
// hosts: as many as leave each of them at least one call.
func OwnerCount(perSecond float64, hosts int) int {
	return min(max(int(math.Floor(perSecond)), 1), hosts)
}

// Quota is this host's part of the calls that one cold target bears, or none.
//
// Even parts over hundreds of hosts would be a call every 20 seconds for each: idle where calls
// come, and a burst beyond what the target bears if each host may save up one. So few hosts,
// chosen by rendezvous hashing, own a target's calls: they agree without a message, and hosts
// that come or go move the ownership of few targets.
type Quota struct {
	limiter *rate.Limiter
}

// NewQuota returns the quota that a host has for a target, which bears so many calls a second
// while it is cold, among the hosts of the target's zone; among all if that has none.
func NewQuota(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) Quota {
	near := 0
	for _, m := range members {
		if m.State == blackboard.MemberLive && m.Host.Zone == zone {
			near++
		}
	}
	in := zone
	if near == 0 {
		in, near = "", len(members)
	}
	owners := OwnerCount(perSecond, near)
	if !rendezvous.InTopN(self, string(target), in, owners, members) {
		return Quota{}
	}
	return Quota{limiter: rate.NewLimiter(rate.Limit(perSecond/float64(owners)), 1)}
}

// Available reports whether the quota has room for a call now.
func (q Quota) Available(now time.Time) bool { return q.limiter != nil && q.limiter.TokensAt(now) >= 1 }

// Take takes a call out of the quota and reports whether it had room.
func (q Quota) Take(now time.Time) bool { return q.limiter != nil && q.limiter.AllowN(now, 1) }

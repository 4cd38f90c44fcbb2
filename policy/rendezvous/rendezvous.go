// Package rendezvous assigns each role, such as the coordinator of a service, to one of the entry
// hosts by rendezvous hashing: the host with the highest score for the role's key has it. Hosts
// with the same member list agree without messages, and when a host comes or goes only the roles
// that it gains or had move.
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Owner returns the live host that has the role. Hosts that are not ready are chosen only if none
// is ready. It allocates nothing.
func Owner(key string, members []blackboard.Member) (blackboard.Member, bool) {
	return best(key, members, func(blackboard.Member) bool { return true })
}

// OwnerInZone is Owner for a role that each availability zone assigns on its own. Hosts of other
// zones are chosen only if the zone has no live host.
func OwnerInZone(key, zone string, members []blackboard.Member) (blackboard.Member, bool) {
	m, ok := best(key, members, func(m blackboard.Member) bool { return m.Host.Zone == zone })
	if ok {
		return m, true
	}
	return Owner(key, members)
}

func best(key string, members []blackboard.Member, allowed func(blackboard.Member) bool) (blackboard.Member, bool) {
	k := xxhash.Sum64String(key)
	found := -1
	var top uint64
	for i := range members {
		m := &members[i]
		if m.State != blackboard.MemberLive || !allowed(*m) {
			continue
		}
		s := score(k, m.Host.ID)
		if found < 0 || wins(m, s, &members[found], top) {
			found, top = i, s
		}
	}
	if found < 0 {
		return blackboard.Member{}, false
	}
	return members[found], true
}

// wins compares by readiness, then score, then ID to break ties.
func wins(a *blackboard.Member, as uint64, b *blackboard.Member, bs uint64) bool {
	if a.Ready != b.Ready {
		return a.Ready
	}
	if as != bs {
		return as > bs
	}
	return a.Host.ID < b.Host.ID
}

// Score returns the score of a host for a role's key. The host with the highest one has the role.
func Score(key string, id ports.HostID) uint64 { return score(xxhash.Sum64String(key), id) }

// score mixes the hashes of key and host with the finalizer of SplitMix64. Hashing the two
// separately avoids an allocation.
func score(key uint64, id ports.HostID) uint64 {
	x := key ^ bits.RotateLeft64(xxhash.Sum64String(string(id)), 32)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// InTopN reports whether host self is one of the n live hosts of a zone with the highest scores
// for a key; an empty zone means all zones. It allocates nothing.
func InTopN(self ports.HostID, key, zone string, n int, members []blackboard.Member) bool {
	k := xxhash.Sum64String(key)
	own := score(k, self)
	above, present := 0, false
	for i := range members {
		m := &members[i]
		if m.State != blackboard.MemberLive || zone != "" && m.Host.Zone != zone {
			continue
		}
		if m.Host.ID == self {
			present = true
			continue
		}
		if s := score(k, m.Host.ID); s > own || s == own && m.Host.ID < self {
			above++
		}
	}
	return present && above < n
}

// TopN returns the n live hosts of a zone with the highest scores for a key, the highest first.
func TopN(key, zone string, n int, members []blackboard.Member) []ports.HostID {
	type ranked struct {
		id    ports.HostID
		score uint64
	}
	k := xxhash.Sum64String(key)
	var list []ranked
	for i := range members {
		m := &members[i]
		if m.State == blackboard.MemberLive && m.Host.Zone == zone {
			list = append(list, ranked{m.Host.ID, score(k, m.Host.ID)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var ids []ports.HostID
	for _, r := range list[:min(n, len(list))] {
		ids = append(ids, r.id)
	}
	return ids
}

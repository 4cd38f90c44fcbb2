package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cactusproxy/cactusproxy/policy/ring"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// meshHosts is the largest cluster in which each host sends heartbeats to all
	// others.
	meshHosts = 30
	// ringWatchers is the number of hosts that receive each host's heartbeats in a
	// larger cluster.
	ringWatchers = 6
	// gossipFanout is the number of hosts that a change is forwarded to.
	gossipFanout = 4
	// randomPartnerEvery makes one in so many comparisons of views go to a random host
	// in place of a neighbour, even if the random host is not suspected.
	randomPartnerEvery = 10
)

// mesh reports whether the cluster is small enough for heartbeats from all to all.
func (v *view) mesh() bool { return len(v.entries) <= cmp.Or(v.rules.meshHosts, meshHosts) }

// watchers returns the number of hosts that monitor each host on the ring.
func (v *view) watchers() int { return cmp.Or(v.rules.watchers, ringWatchers) }

// ring returns the hash ring of the view. Suspected hosts are left out, because they
// would not monitor their predecessors. A host that only this one holds for silent stays
// on the ring and is probed again: if this host is its last watcher, no other would ever
// report its failure.
func (v *view) ring() ring.Ring {
	ids := v.others(func(e *entry) bool { return !e.rec.Suspected && !e.rec.Resuming })
	return ring.New(append(ids, v.self))
}

// heartbeatReceivers returns the hosts that this host sends heartbeats to.
func (v *view) heartbeatReceivers() []ports.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.ring().After(v.self, v.watchers())
}

// monitored returns the hosts that this host expects heartbeats from.
func (v *view) monitored() []ports.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.ring().Before(v.self, v.watchers())
}

// neighbours returns the hosts that changes are gossiped to.
func (v *view) neighbours() []ports.HostID {
	if v.mesh() {
		return v.others(func(e *entry) bool { return !e.unreachable() })
	}
	return v.ring().Fingers(v.self)
}

// syncPartners returns the hosts to compare views with. On a ring, a random host is drawn
// and asked if it is suspected, so that a host which suspects most others asks suspected
// ones most of the time: after a partition has healed, no other message would ever reach
// the other side.
func (v *view) syncPartners(rng *rand.Rand) []ports.HostID {
	all := v.others(nil)
	if v.mesh() {
		return sample(rng, all, 2)
	}
	other := sample(rng, all, 1)
	near := v.neighbours()
	if len(near) == 0 || v.entries[other[0]].unreachable() || rng.IntN(randomPartnerEvery) == 0 {
		return other
	}
	return sample(rng, near, 1)
}

// others returns all hosts but this one for which keep returns true, sorted by ID. A nil
// keep selects all.
func (v *view) others(keep func(*entry) bool) []ports.HostID {
	out := make([]ports.HostID, 0, len(v.entries))
	for id, e := range v.entries {
		if id != v.self && (keep == nil || keep(e)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// sample returns up to k random hosts. It shuffles ids in place.
func sample(rng *rand.Rand, ids []ports.HostID, k int) []ports.HostID {
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(k, len(ids))]
}

package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cactusproxy/cactusproxy/policy/ring"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// meshHosts is up to how many hosts each one heartbeats all others.
	meshHosts = 30
	// ringWatchers is how many hosts hear each host's heartbeats past that.
	ringWatchers = 6
	// gossipFanout is how many hosts a change is passed on to.
	gossipFanout = 4
	// strangerEvery is how often, in comparisons of views, a host asks any
	// other and not a neighbour, even if it doubts none.
	strangerEvery = 10
)

func (v *view) mesh() bool { return len(v.entries) <= cmp.Or(v.rules.meshHosts, meshHosts) }

func (v *view) watchers() int { return cmp.Or(v.rules.watchers, ringWatchers) }

// ring leaves out suspected hosts, which would be watchers that do not watch. A
// host that is only silent to this one stays on it and is probed again: if this
// host is its last watcher, nobody else would ever tell that it is gone.
func (v *view) ring() ring.Ring {
	ids := v.others(func(e *entry) bool { return !e.rec.Suspected && !e.rec.Waking })
	return ring.New(append(ids, v.self))
}

// heartbeatTo returns the hosts that get this host's heartbeats.
func (v *view) heartbeatTo() []ports.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.ring().After(v.self, v.watchers())
}

// watched returns the hosts whose heartbeats this one expects.
func (v *view) watched() []ports.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.ring().Before(v.self, v.watchers())
}

// neighbours returns the hosts that changes are passed on to.
func (v *view) neighbours() []ports.HostID {
	if v.mesh() {
		return v.others(func(e *entry) bool { return !e.doubted() })
	}
	return v.ring().Fingers(v.self)
}

// partners returns the hosts to compare views with. A host that doubts most
// others asks doubted ones most of the time: after a partition has healed,
// nobody else would ever speak to the other side again.
func (v *view) partners(rng *rand.Rand) []ports.HostID {
	all := v.others(nil)
	if v.mesh() {
		return sample(rng, all, 2)
	}
	other := sample(rng, all, 1)
	near := v.neighbours()
	if len(near) == 0 || v.entries[other[0]].doubted() || rng.IntN(strangerEvery) == 0 {
		return other
	}
	return sample(rng, near, 1)
}

// others returns all hosts but this one that are kept, in order of ID.
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

// sample returns up to k of the hosts at random.
func sample(rng *rand.Rand, ids []ports.HostID, k int) []ports.HostID {
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(k, len(ids))]
}

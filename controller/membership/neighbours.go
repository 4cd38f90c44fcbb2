package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/policy/ring"
)

const (
	// meshHosts is up to how many hosts each one heartbeats all others.
	meshHosts = 30
	// ringWatchers is how many hosts hear each host's heartbeats past that.
	ringWatchers = 6
	// gossipFanout is how many hosts a change is passed on to.
	gossipFanout = 4
	// strangerEvery is how often, in comparisons of views, a host asks any
	// other and not a neighbour.
	strangerEvery = 10
)

func (v *view) mesh() bool { return len(v.entries) <= cmp.Or(v.rules.meshHosts, meshHosts) }

func (v *view) watchers() int { return cmp.Or(v.rules.watchers, ringWatchers) }

// ring leaves out doubted hosts, which would be watchers that do not watch.
func (v *view) ring() ring.Ring {
	ids := v.others(func(e *entry) bool { return !e.doubted() })
	return ring.New(append(ids, v.self))
}

// heartbeatTo returns the hosts that get this host's heartbeats.
func (v *view) heartbeatTo() []platform.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.ring().After(v.self, v.watchers())
}

// watched returns the hosts whose heartbeats this one expects.
func (v *view) watched() []platform.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.ring().Before(v.self, v.watchers())
}

// neighbours returns the hosts that changes are passed on to.
func (v *view) neighbours() []platform.HostID {
	if v.mesh() {
		return v.others(func(e *entry) bool { return !e.doubted() })
	}
	return v.ring().Fingers(v.self)
}

// partners returns the hosts to compare views with. Now and then it is any
// host, doubted or not: across a partition that has healed, nobody else would
// ever speak to the other side again.
func (v *view) partners(rng *rand.Rand) []platform.HostID {
	if v.mesh() {
		return sample(rng, v.others(nil), 2)
	}
	near := v.neighbours()
	if len(near) == 0 || rng.IntN(strangerEvery) == 0 {
		return sample(rng, v.others(nil), 1)
	}
	return sample(rng, near, 1)
}

// others returns all hosts but this one that are kept, in order of ID.
func (v *view) others(keep func(*entry) bool) []platform.HostID {
	out := make([]platform.HostID, 0, len(v.entries))
	for id, e := range v.entries {
		if id != v.self && (keep == nil || keep(e)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// sample returns up to k of the hosts at random.
func sample(rng *rand.Rand, ids []platform.HostID, k int) []platform.HostID {
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(k, len(ids))]
}

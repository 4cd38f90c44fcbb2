package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/platform"
)

const (
	// meshHosts is up to how many hosts each one heartbeats all others.
	meshHosts = 30
	// ringWatchers is how many hosts hear each host's heartbeats past that.
	ringWatchers = 6
	// gossipFanout is how many random hosts a change is passed on to.
	gossipFanout = 4
)

// ring holds the hosts in the order of their hashes. A host heartbeats the
// hosts after it; all hosts with the same view agree on who that is.
type ring struct {
	ids []platform.HostID
	pos map[platform.HostID]int
}

// newRing leaves out doubted hosts, which would be watchers that do not watch;
// keep is left in all the same.
func (v *view) newRing(keep platform.HostID) ring {
	var r ring
	for id, e := range v.entries {
		if id == keep || id == v.self || !e.doubted() {
			r.ids = append(r.ids, id)
		}
	}
	slices.SortFunc(r.ids, func(a, b platform.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	r.pos = make(map[platform.HostID]int, len(r.ids))
	for i, id := range r.ids {
		r.pos[id] = i
	}
	return r
}

// after returns the k hosts that follow id.
func (r ring) after(id platform.HostID, k int) []platform.HostID {
	at, ok := r.pos[id]
	if !ok {
		return nil
	}
	k = min(k, len(r.ids)-1)
	out := make([]platform.HostID, k)
	for i := range out {
		out[i] = r.ids[(at+1+i)%len(r.ids)]
	}
	return out
}

// before returns the k hosts that id follows.
func (r ring) before(id platform.HostID, k int) []platform.HostID {
	at, ok := r.pos[id]
	if !ok {
		return nil
	}
	n := len(r.ids)
	k = min(k, n-1)
	out := make([]platform.HostID, k)
	for i := range out {
		out[i] = r.ids[((at-1-i)%n+n)%n]
	}
	return out
}

func (v *view) mesh() bool { return len(v.entries) <= cmp.Or(v.rules.meshHosts, meshHosts) }

func (v *view) watchers() int { return cmp.Or(v.rules.watchers, ringWatchers) }

// heartbeatTo returns the hosts that get this host's heartbeats.
func (v *view) heartbeatTo() []platform.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.newRing(v.self).after(v.self, v.watchers())
}

// watched returns the hosts whose heartbeats this one expects.
func (v *view) watched() []platform.HostID {
	if v.mesh() {
		return v.others(nil)
	}
	return v.newRing(v.self).before(v.self, v.watchers())
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

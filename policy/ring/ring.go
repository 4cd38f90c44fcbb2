// Package ring places hosts on a ring by the hash of their ID and tells each
// one its neighbours. All hosts with the same view agree on who is whose
// neighbour, and each has few of them however many hosts there are, so that the
// connections between hosts do not grow into a full mesh.
package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Ring is immutable.
type Ring struct {
	ids []ports.HostID
}

// New returns the ring of these hosts, which have to differ.
func New(ids []ports.HostID) Ring {
	r := Ring{ids: slices.Clone(ids)}
	slices.SortFunc(r.ids, compare)
	return r
}

func compare(a, b ports.HostID) int {
	byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	return cmp.Or(byHash, cmp.Compare(a, b))
}

// After returns the k hosts that follow id, or all others if there are fewer.
// It returns none if id is not on the ring.
func (r Ring) After(id ports.HostID, k int) []ports.HostID { return r.walk(id, k, 1) }

// Before returns the k hosts that id follows, the nearest first.
func (r Ring) Before(id ports.HostID, k int) []ports.HostID { return r.walk(id, k, -1) }

func (r Ring) walk(id ports.HostID, k, step int) []ports.HostID {
	at, ok := slices.BinarySearchFunc(r.ids, id, compare)
	if !ok {
		return nil
	}
	n := len(r.ids)
	out := make([]ports.HostID, min(k, n-1))
	for i := range out {
		out[i] = r.ids[((at+step*(i+1))%n+n)%n]
	}
	return out
}

// Fingers returns the hosts that follow id at the distances 1, 2, 4 and so on.
// A message that is passed on to fingers reaches all of n hosts in about log n
// steps.
func (r Ring) Fingers(id ports.HostID) []ports.HostID {
	at, ok := slices.BinarySearchFunc(r.ids, id, compare)
	if !ok {
		return nil
	}
	var out []ports.HostID
	for d := 1; d < len(r.ids); d *= 2 {
		out = append(out, r.ids[(at+d)%len(r.ids)])
	}
	return out
}

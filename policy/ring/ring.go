// Package ring arranges hosts on a ring by the hash of their ID and returns the neighbors of
// each. All hosts with the same member list agree on the neighbors, and the number of them does
// not grow with the number of hosts, so that the connections between hosts do not become a full
// mesh.
package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Ring is an immutable hash ring of hosts.
type Ring struct {
	ids []ports.HostID
}

// New returns the ring of the given hosts, which must be distinct.
func New(ids []ports.HostID) Ring {
	r := Ring{ids: slices.Clone(ids)}
	slices.SortFunc(r.ids, compare)
	return r
}

func compare(a, b ports.HostID) int {
	byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	return cmp.Or(byHash, cmp.Compare(a, b))
}

// After returns the k hosts that follow id, or all others if there are fewer. It returns none if
// id is not on the ring.
func (r Ring) After(id ports.HostID, k int) []ports.HostID { return r.walk(id, k, 1) }

// Before returns the k hosts that precede id, the nearest first, with the same exceptions as
// After.
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

// Fingers returns the hosts that follow id at distances 1, 2, 4 and so on, as in Chord. A message
// that each host forwards to its fingers reaches all n hosts in about log n steps.
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

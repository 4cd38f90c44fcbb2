package placement

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is the number of targets of the host's availability zone among which it chooses, and
// the number of targets of all other zones. With thousands of targets that serve few calls each,
// what a host learns of one is stale before it uses it again, and scanning all of them for every
// call takes longer than the call.
const SubsetSize = 384

// Subset selects the targets of a service that one host chooses among. Each target is included
// with the same probability, independent of the others: targets that come or go move few others,
// and the subsets of many hosts cover all targets evenly.
type Subset struct {
	// Seed differs between hosts.
	Seed uint64
	// ownThreshold and otherThreshold are the scores, for targets of the host's zone and of
	// others, below which a target is included.
	ownThreshold, otherThreshold uint64
}

// Resize sets the thresholds by the number of targets in the host's zone and in others.
func (s *Subset) Resize(own, other int) {
	s.ownThreshold, s.otherThreshold = threshold(own), threshold(other)
}

// IncludeAll includes all targets.
func (s *Subset) IncludeAll() { s.ownThreshold, s.otherThreshold = math.MaxUint64, math.MaxUint64 }

// Contains reports whether a target is in the subset; otherZone is set if it is in another
// availability zone.
func (s *Subset) Contains(id string, otherZone bool) bool {
	limit := s.ownThreshold
	if otherZone {
		limit = s.otherThreshold
	}
	return limit == math.MaxUint64 || score(s.Seed, id) < limit
}

// threshold returns the score below which about SubsetSize of n targets are.
func threshold(n int) uint64 {
	if n <= SubsetSize {
		return math.MaxUint64
	}
	return uint64(math.MaxUint64 / float64(n) * SubsetSize)
}

// score mixes a target's hash with the host's seed by the finalizer of SplitMix64.
func score(seed uint64, id string) uint64 {
	x := xxhash.Sum64String(id) ^ bits.RotateLeft64(seed, 32)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

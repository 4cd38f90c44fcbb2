package placement

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is how many targets of the own availability zone a host chooses among, and how many of
// all others: where thousands serve few calls each, what a host learns of one is old before it
// comes back to it, and a look at each for every call takes longer than the call.
const SubsetSize = 384

// Subset is the part of a service's targets that one host chooses among. Each target is in it
// with the same chance, whatever others there are: targets that come or go move few others, and
// the parts of many hosts cover all targets evenly.
type Subset struct {
	// Seed differs between hosts.
	Seed uint64
	// near and far are the scores below which targets are in it.
	near, far uint64
}

// Resize sets the chances by the number of targets of the own zone and of others.
func (s *Subset) Resize(near, far int) {
	s.near, s.far = chance(near), chance(far)
}

// IncludeAll has all targets be in the subset.
func (s *Subset) IncludeAll() { s.near, s.far = math.MaxUint64, math.MaxUint64 }

// Contains reports whether a target is in the subset.
func (s *Subset) Contains(id string, far bool) bool {
	most := s.near
	if far {
		most = s.far
	}
	return most == math.MaxUint64 || score(s.Seed, id) < most
}

// chance returns the score below which Kept of so many targets are likely to be.
func chance(of int) uint64 {
	if of <= SubsetSize {
		return math.MaxUint64
	}
	return uint64(math.MaxUint64 / float64(of) * SubsetSize)
}

// score mixes a target's hash with the host's seed; the mixing is the finaliser of SplitMix64.
func score(seed uint64, id string) uint64 {
	x := xxhash.Sum64String(id) ^ bits.RotateLeft64(seed, 32)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

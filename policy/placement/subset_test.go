package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// A service with few targets is included whole.
func TestSmallServicesAreIncludedWhole(t *testing.T) {
	s := Subset{Seed: 1}
	s.Resize(SubsetSize, SubsetSize)
	for i := range 2 * SubsetSize {
		assert.Check(t, s.Contains(fmt.Sprint(i), i%2 == 0))
	}
}

// The subsets of many hosts must cover all targets evenly, including new ones: a target that no
// host includes would be idle.
func TestSubsetsCoverAllTargetsEvenly(t *testing.T) {
	const hosts, targets = 200, 1045
	rng := rand.New(rand.NewPCG(1, 1))
	var covered [targets]int
	least, most := targets, 0
	for range hosts {
		s := Subset{Seed: rng.Uint64()}
		s.Resize(targets, 0)
		kept := 0
		for i := range targets {
			if s.Contains(fmt.Sprintf("i-%x", i), false) {
				covered[i]++
				kept++
			}
		}
		least, most = min(least, kept), max(most, kept)
	}
	assert.Check(t, least > SubsetSize*8/10 && most < SubsetSize*12/10, "hosts include %d to %d targets", least, most)
	expected := hosts * SubsetSize / targets
	for i, n := range covered {
		assert.Check(t, n > expected/2 && n < expected*3/2, "target %d is included by %d hosts, want about %d", i, n, expected)
	}
}

// A change in the number of targets must move few others in or out.
func TestSubsetsMoveLittle(t *testing.T) {
	s := Subset{Seed: 7}
	s.Resize(1000, 0)
	before := make(map[int]bool)
	for i := range 1000 {
		before[i] = s.Contains(fmt.Sprint(i), false)
	}
	s.Resize(1050, 0)
	moved := 0
	for i, had := range before {
		if s.Contains(fmt.Sprint(i), false) != had {
			moved++
		}
	}
	assert.Check(t, moved < 40, "%d of 1000 targets moved", moved)
}

package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func randomConfig(rng *rand.Rand, version uint64) *Config {
	c := &Config{Version: version, Services: []Service{{Name: "a"}, {Name: "b"}}}
	for i := range 30 {
		if rng.IntN(4) == 0 {
			continue
		}
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprintf("r%d", i), Host: "h", Prefix: "/", Kind: Safe,
			Timeout: time.Duration(1+rng.IntN(3)) * time.Second, MaxAttempts: 1 + rng.IntN(2),
			Split: []WeightedService{{Service: []string{"a", "b"}[rng.IntN(2)], Weight: 1}},
		})
	}
	return c
}

func sorted(c *Config) []Route {
	return slices.SortedFunc(slices.Values(c.Routes), func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
}

func TestDeltaLeadsToTheSameConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		from, to := randomConfig(rng, 3), randomConfig(rng, 7)
		got, err := from.Apply(Diff(from, to))
		assert.NilError(t, err)
		assert.Equal(t, got.Version, uint64(7))
		assert.DeepEqual(t, sorted(got), sorted(to))
	}
}

// A host that missed a version must not apply a delta based on it: the result would be a
// configuration that no operator wrote.
func TestDeltaFromAnotherBaseIsRefused(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	d := Diff(randomConfig(rng, 3), randomConfig(rng, 7))
	for _, c := range []*Config{nil, randomConfig(rng, 2), randomConfig(rng, 7)} {
		_, err := c.Apply(d)
		assert.Check(t, errors.Is(err, ErrBaseMismatch))
	}
}

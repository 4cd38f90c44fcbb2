package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// manyRoutes is the number of routes in the largest configurations in use.
const manyRoutes = 1500

// largeConfig returns a configuration with manyRoutes routes, 300 host names and 100 services.
func largeConfig(version uint64) *Config {
	c := &Config{Version: version}
	for i := range 100 {
		c.Services = append(c.Services, Service{Name: fmt.Sprintf("service%d", i), HealthPath: "/healthz", MaxConns: 64})
	}
	for i := range manyRoutes {
		c.Routes = append(c.Routes, Route{
			Name:        fmt.Sprintf("route%d", i),
			Host:        fmt.Sprintf("host%d.example", i%300),
			Prefix:      fmt.Sprintf("/prefix%d/", i),
			Kind:        Safe,
			Timeout:     3 * time.Second,
			Objective:   300 * time.Millisecond,
			MaxAttempts: 3,
			Split:       []WeightedService{{Service: fmt.Sprintf("service%d", i%100), Weight: 1}},
		})
	}
	return c
}

// largeChanges returns changes of a large configuration by name: the versions before and after.
func largeChanges() map[string][2]*Config {
	changed, fewer := largeConfig(2), largeConfig(2)
	for i := range 200 {
		changed.Routes[7*i].MaxAttempts = 2
	}
	fewer.Routes = fewer.Routes[:100]
	return map[string][2]*Config{
		"changed=200":  {largeConfig(1), changed},
		"dropped=1400": {largeConfig(1), fewer},
		"added=1400":   {{Version: 1, Routes: fewer.Routes, Services: fewer.Services}, largeConfig(2)},
	}
}

func BenchmarkDiff(b *testing.B) {
	for name, c := range largeChanges() {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				Diff(c[0], c[1])
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for name, c := range largeChanges() {
		b.Run(name, func(b *testing.B) {
			d := Diff(c[0], c[1])
			for b.Loop() {
				_, err := c[0].Apply(d)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	c := largeConfig(1)
	for b.Loop() {
		assert.NilError(b, c.Check())
	}
}

func BenchmarkNewTable(b *testing.B) {
	c := largeConfig(1)
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		NewTable(c, rng)
	}
}

// A delta is sent to every host. Its size must depend on the changed routes alone: with the
// unchanged ones it would be as large as a whole configuration, 250 kB.
func TestDeltaIsSmall(t *testing.T) {
	size := func(v any) int {
		raw, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		return len(raw)
	}
	c := largeChanges()["changed=200"]
	d := Diff(c[0], c[1])
	assert.Equal(t, len(d.Put), 200)
	configSize, servicesSize := size(c[1]), size(c[1].Services)
	deltaSize := size(d)
	t.Logf("configuration %d bytes, services %d, delta %d", configSize, servicesSize, deltaSize)
	assert.Check(t, deltaSize-servicesSize < configSize/7, "%d of %d bytes", deltaSize, configSize)
	slices.Reverse(c[1].Routes)
	assert.Equal(t, size(Diff(c[0], c[1])), deltaSize, "a change of order must not grow the delta")
}

package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

func testTable(routes ...Route) *Table {
	c := &Config{Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
	return NewTable(c, rand.New(rand.NewPCG(1, 2)))
}

func splitTo(service string) []WeightedService {
	return []WeightedService{{Service: service, Weight: 1}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tb := testTable(
		Route{Name: "r1", Host: "one.example", Prefix: "/", Split: splitTo("a")},
		Route{Name: "r2", Host: "one.example", Prefix: "/lots/", Split: splitTo("b")},
		Route{Name: "r3", Host: "two.example", Prefix: "/bids/", Split: splitTo("a")},
	)
	for _, tc := range []struct{ host, path, want string }{
		{"one.example", "/lots/7", "r2"},
		{"ONE.example:8080", "/lots/7", "r2"},
		{"one.example", "/lots", "r1"},
		{"two.example", "/bids/", "r3"},
		{"two.example", "/lots/7", ""},
		{"three.example", "/", ""},
	} {
		m, ok := tb.Find(tc.host, tc.path)
		assert.Equal(t, ok, tc.want != "", "%s%s", tc.host, tc.path)
		if ok {
			assert.Equal(t, m.Route.Name, tc.want)
		}
	}
}

// Fourteen hosts that each route a few requests must together keep the proportions of a split.
// Guards against all hosts starting with the same part.
func TestSplitKeepsProportionsOverManyHosts(t *testing.T) {
	const hosts, each = 14, 25
	parts := []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		toB := 0
		for range hosts {
			tb := NewTable(&Config{
				Routes:   []Route{{Host: "h", Prefix: "/", Split: parts}},
				Services: []Service{{Name: "a"}, {Name: "b"}},
			}, rng)
			for range each {
				if m, _ := tb.Find("h", "/"); m.Service.Name == "b" {
					toB++
				}
			}
		}
		share := float64(toB) / (hosts * each)
		assert.Check(t, math.Abs(share-0.1) < 0.03, "seed %d: share %.3f", seed, share)
	}
}

// A table without a service of its route would report that no route matches, and the client would
// get status 404. Check rejects such a configuration; if one is used nevertheless, the process
// must stop.
func TestTableOfARouteWithoutItsServiceBreaksTheInvariant(t *testing.T) {
	for name, parts := range map[string][]WeightedService{
		"one part":       splitTo("missing"),
		"the first part": {{Service: "missing", Weight: 1}, {Service: "a", Weight: 1}},
		"the last part":  {{Service: "a", Weight: 1}, {Service: "missing", Weight: 1}},
		"no part":        nil,
	} {
		t.Run(name, func(t *testing.T) {
			invariant.SetHandler(invariant.Panic)
			defer invariant.SetHandler(nil)
			defer func() {
				assert.Check(t, strings.Contains(fmt.Sprint(recover()), "route-service"))
			}()
			testTable(Route{Name: "r", Host: "h", Prefix: "/", Split: parts})
		})
	}
}

// For every route of a valid configuration, a request for its prefix must match this route, or one
// of higher precedence with the same prefix, and select one of the services of the match.
func TestEveryRouteOfACheckedConfigurationLeadsToAService(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 8))
		c := randomConfigWithCollisions(rng, 1)
		assert.NilError(t, c.Check())
		tb := NewTable(c, rng)
		for _, r := range c.Routes {
			if r.Host != HostName(r.Host) {
				continue // the decoder normalizes host names
			}
			m, ok := tb.Find(r.Host, r.Prefix)
			assert.Assert(t, ok, "seed %d", seed)
			assert.Equal(t, m.Route.Prefix, r.Prefix)
			named := slices.ContainsFunc(m.Route.Split, func(p WeightedService) bool { return p.Service == m.Service.Name })
			assert.Check(t, named, "seed %d: %q is not a service of route %q", seed, m.Service.Name, m.Route.Name)
		}
	}
}

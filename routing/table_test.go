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

func table(routes ...Route) *Table {
	c := &Config{Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
	return NewTable(c, rand.New(rand.NewPCG(1, 2)))
}

func to(service string) []WeightedService { return []WeightedService{{Service: service, Weight: 1}} }

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tb := table(
		Route{Name: "r1", Host: "one.example", Prefix: "/", Split: to("a")},
		Route{Name: "r2", Host: "one.example", Prefix: "/lots/", Split: to("b")},
		Route{Name: "r3", Host: "two.example", Prefix: "/bids/", Split: to("a")},
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

// Fourteen hosts that each take a few requests of a split must keep its
// proportions together: a caller's request goes to the wrong part more often
// than declared if all hosts begin with the same one.
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

// A caller was told 404 as if no route covered the request, though one did: the service
// that it leads to was not in the table. A table is made of a configuration that was
// checked, so that this can not be; if it is, the process stops in place of telling
// callers what is not true.
func TestTableOfARouteWithoutItsServiceBreaksTheInvariant(t *testing.T) {
	for name, parts := range map[string][]WeightedService{
		"one part":       to("missing"),
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
			table(Route{Name: "r", Host: "h", Prefix: "/", Split: parts})
		})
	}
}

// Every route of a configuration that Check accepts takes requests of its prefix, or
// another of its host does that comes before it; all lead to one of their services.
func TestEveryRouteOfACheckedConfigurationLeadsToAService(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 8))
		c := anyConfig(rng, 1)
		assert.NilError(t, c.Check())
		tb := NewTable(c, rng)
		for _, r := range c.Routes {
			if r.Host != HostName(r.Host) {
				continue // the decoder makes no such host
			}
			m, ok := tb.Find(r.Host, r.Prefix)
			assert.Assert(t, ok, "seed %d", seed)
			assert.Equal(t, m.Route.Prefix, r.Prefix)
			named := slices.ContainsFunc(m.Route.Split, func(p WeightedService) bool { return p.Service == m.Service.Name })
			assert.Check(t, named, "seed %d: %q is no service of %q", seed, m.Service.Name, m.Route.Name)
		}
	}
}

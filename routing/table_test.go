package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func table(routes ...Route) *Table {
	c := &Config{Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
	return NewTable(c, rand.New(rand.NewPCG(1, 2)))
}

func to(service string) []Part { return []Part{{Service: service, Weight: 1}} }

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tb := table(
		Route{Name: "r1", Host: "one.example", Prefix: "/", Parts: to("a")},
		Route{Name: "r2", Host: "one.example", Prefix: "/lots/", Parts: to("b")},
		Route{Name: "r3", Host: "two.example", Prefix: "/bids/", Parts: to("a")},
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
	parts := []Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		toB := 0
		for range hosts {
			tb := NewTable(&Config{
				Routes:   []Route{{Host: "h", Prefix: "/", Parts: parts}},
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

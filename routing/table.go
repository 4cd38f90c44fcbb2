package routing

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// Table looks up the routes of requests and the tenants of API keys. One is built for each version
// of the configuration. It is safe for concurrent use.
type Table struct {
	Config        *Config
	entriesByHost map[string][]*entry
	serviceByName map[string]*Service

	tenantByName map[string]*Tenant
	tenantByKey  map[KeyDigest]*Tenant
}

// entry is a route with its services resolved, in the order of its parts, and the state of its
// weighted split.
type entry struct {
	route    *Route
	services []*Service
	split    split
}

// Match is the route of a request and the service chosen for it.
type Match struct {
	Route   *Route
	Service *Service
}

// NewTable returns the table of a configuration, which must have passed Check. rng gives each
// split a random initial state, so that many hosts together keep the proportions also over few
// requests each.
func NewTable(c *Config, rng *rand.Rand) *Table {
	t := &Table{
		Config:        c,
		entriesByHost: make(map[string][]*entry),
		serviceByName: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.serviceByName[c.Services[i].Name] = &c.Services[i]
	}
	t.indexTenants(c)
	for i := range c.Routes {
		r := &c.Routes[i]
		t.entriesByHost[r.Host] = append(t.entriesByHost[r.Host], t.newEntry(r, rng))
	}
	for _, list := range t.entriesByHost {
		slices.SortFunc(list, byPrecedence)
	}
	return t
}

// newEntry resolves the services of a route. Check rejects routes to unknown services, whose
// clients would get status 404.
func (t *Table) newEntry(r *Route, rng *rand.Rand) *entry {
	invariant.Check(len(r.Split) > 0, invariant.RouteService, "route=%s has no part", r.Name)
	e := &entry{route: r, services: make([]*Service, len(r.Split)), split: newSplit(r.Split, rng)}
	for i, p := range r.Split {
		e.services[i] = t.serviceByName[p.Service]
		invariant.Check(e.services[i] != nil, invariant.RouteService, "route=%s service=%s", r.Name, p.Service)
	}
	return e
}

// byPrecedence orders the routes of a host name. The longest prefix comes first; routes with the
// same prefix are ordered by name, bytewise, and those with the same name by their encoding.
//
// The order must depend on the content of the routes alone: after a Delta, the order of the list
// differs from that of the document.
func byPrecedence(a, b *entry) int {
	if c := cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.route.Prefix, b.route.Prefix); c != 0 {
		return c
	}
	if c := cmp.Compare(a.route.Name, b.route.Name); c != 0 {
		return c
	}
	return bytes.Compare(a.route.appendTo(nil), b.route.appendTo(nil))
}

// Service returns the service with this name, or nil.
func (t *Table) Service(name string) *Service { return t.serviceByName[name] }

// Find returns the route and service of a request. It returns false only if no route matches.
// Each match advances the weighted split of the route.
func (t *Table) Find(host, path string) (Match, bool) {
	for _, e := range t.entriesByHost[HostName(host)] {
		if !strings.HasPrefix(path, e.route.Prefix) {
			continue
		}
		return Match{Route: e.route, Service: e.services[e.split.next()]}, true
	}
	return Match{}, false
}

// HostName returns the host name of a Host header: in lower case and without the port. Host names
// of a configuration must be normalized by it as well, or lookups never match them.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// split distributes requests by smooth weighted round robin: every turn adds its share to the
// credit of each part and selects the part with the most. Random selection would miss the
// proportions by several percent over a few hundred requests; this is off by at most one
// request per part. It is safe for concurrent use.
type split struct {
	mu      *sync.Mutex
	shares  []float64
	credits []float64
}

func newSplit(parts []WeightedService, rng *rand.Rand) split {
	s := split{mu: new(sync.Mutex), shares: make([]float64, len(parts)), credits: make([]float64, len(parts))}
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	for i, p := range parts {
		s.shares[i] = p.Weight / total
	}
	// Choose the part that goes first at random, in proportion to the shares.
	point := rng.Float64()
	for i, share := range s.shares {
		if point < share {
			s.credits[i] = rng.Float64()
			break
		}
		point -= share
	}
	return s
}

func (s *split) next() int {
	if len(s.shares) == 1 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, share := range s.shares {
		s.credits[i] += share
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best]--
	return best
}

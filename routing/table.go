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

// Table finds the route of a request. It is made once for each version of the
// configuration and safe for concurrent use.
type Table struct {
	Config *Config
	byHost map[string][]*entry
	byName map[string]*Service

	byTenant map[string]*Tenant
	byKey    map[KeyDigest]*Tenant
}

// entry is a route with the services of its parts and the state of its split.
type entry struct {
	route    *Route
	services []*Service
	split    split
}

// Match is where a request leads.
type Match struct {
	Route   *Route
	Service *Service
}

// NewTable returns the table of a configuration that Check accepted: each route has a
// service for every part. rng gives each split a random start, so that many hosts together
// keep the proportions also in a short time.
func NewTable(c *Config, rng *rand.Rand) *Table {
	t := &Table{
		Config: c,
		byHost: make(map[string][]*entry),
		byName: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.byName[c.Services[i].Name] = &c.Services[i]
	}
	t.addTenants(c)
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], t.newEntry(r, rng))
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, byPrecedence)
	}
	return t
}

// newEntry returns a route with its services.
//
// Check accepts no route to a service that is not there: its callers would be told 404.
func (t *Table) newEntry(r *Route, rng *rand.Rand) *entry {
	invariant.Check(len(r.Split) > 0, invariant.RouteService, "route=%s has no part", r.Name)
	e := &entry{route: r, services: make([]*Service, len(r.Split)), split: newSplit(r.Split, rng)}
	for i, p := range r.Split {
		e.services[i] = t.byName[p.Service]
		invariant.Check(e.services[i] != nil, invariant.RouteService, "route=%s service=%s", r.Name, p.Service)
	}
	return e
}

// byPrecedence puts the route first that takes a request: the one of the longest prefix. Of
// several with the same prefix it is the one whose name is first in the order of bytes, of
// several with that name, too, the first by all that they say.
//
// What the routes say is the same at every host; their order in a document is not, for hosts that
// were told a difference.
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
func (t *Table) Service(name string) *Service { return t.byName[name] }

// Find returns where a request leads; false means that no route covers it, and nothing
// else. Each call takes one turn of the route's split.
func (t *Table) Find(host, path string) (Match, bool) {
	for _, e := range t.byHost[HostName(host)] {
		if !strings.HasPrefix(path, e.route.Prefix) {
			continue
		}
		return Match{Route: e.route, Service: e.services[e.split.next()]}, true
	}
	return Match{}, false
}

// HostName returns a Host header without its port, in lower case. The names in a
// configuration are read by it, too: one that is read otherwise is never found.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// split spreads requests over parts in the proportions of their weights: each
// turn adds its share to every part's credit and goes to the part with the most.
// Dice would miss the proportions of a few hundred requests by several percent;
// this is never more than one request off for each part.
type split struct {
	mu     *sync.Mutex
	shares []float64
	credit []float64
}

func newSplit(parts []WeightedService, rng *rand.Rand) split {
	s := split{mu: new(sync.Mutex), shares: make([]float64, len(parts)), credit: make([]float64, len(parts))}
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	for i, p := range parts {
		s.shares[i] = p.Weight / total
	}
	// One turn with a random point for a start: part i goes first as often as its
	// share says.
	point := rng.Float64()
	for i, share := range s.shares {
		if point < share {
			s.credit[i] = rng.Float64()
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
		s.credit[i] += share
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best]--
	return best
}

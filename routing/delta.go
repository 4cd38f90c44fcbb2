package routing

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta leads from one configuration to another. Most changes touch a few of
// hundreds of routes; passed on whole, each would cost every host tens of
// kilobytes and the time to decode them. It leads to the same routes and tenants, in some
// other order; a Table does not depend on the order.
type Delta struct {
	Base    uint64 `msgpack:"base"`
	Version uint64 `msgpack:"version"`
	// Put are all routes of each name of which one came, went or changed: names need not
	// be unique. They replace all that had the name.
	Put []Route `msgpack:"put"`
	// Drop names the routes that are gone, of names that have none left.
	Drop []string `msgpack:"drop"`
	// PutTenants are the tenants that came or changed, DropTenants the names of those gone.
	PutTenants  []Tenant  `msgpack:"put_tenants"`
	DropTenants []string  `msgpack:"drop_tenants"`
	Services    []Service `msgpack:"services"`
	Limits      Limits    `msgpack:"limits"`
	RequiresKey       bool      `msgpack:"keyed"`
	// Digest is that of the configuration that the delta leads to; 0 if not told, as by
	// hosts whose program lacks it.
	Digest uint64 `msgpack:"digest_3"`
}

// Reasons why a delta is not applied, to be tested with errors.Is.
var (
	// ErrBaseMismatch says that a delta does not begin at the configuration at hand.
	ErrBaseMismatch = errors.New("delta begins at another configuration")
	// ErrDigestMismatch says that a delta leads to another configuration than its sender has.
	ErrDigestMismatch = errors.New("delta leads to another configuration")
)

// Diff returns what leads from one configuration to another.
func Diff(from, to *Config) Delta {
	d := Delta{
		Base:     from.Version,
		Version:  to.Version,
		Services: to.Services,
		Limits:   to.Limits,
		RequiresKey:    to.RequiresKey,
		Digest:   to.Digest(),
	}
	d.Put, d.Drop = differing(to.Routes, routeName, routeMarks(from.Routes), routeMarks(to.Routes))
	d.PutTenants, d.DropTenants = differing(to.Tenants, tenantName, tenantMarks(from.Tenants), tenantMarks(to.Tenants))
	return d
}

func routeName(r *Route) string { return r.Name }

func tenantName(t *Tenant) string { return t.Name }

// differing returns the entries of a list whose marks differ, and the names that are gone.
func differing[T any](to []T, name func(*T) string, old, next map[string]uint64) (put []T, drop []string) {
	for i := range to {
		n := name(&to[i])
		mark, had := old[n]
		if !had || mark != next[n] {
			put = append(put, to[i])
		}
	}
	for n := range old {
		if _, has := next[n]; !has {
			drop = append(drop, n)
		}
	}
	slices.Sort(drop)
	return put, drop
}

// Apply returns the configuration that a delta leads to.
//
// The digest is compared since the sender may have another configuration of the same version:
// this host alone would lack routes. It keeps what it has and is soon told everything.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c == nil || c.Version != d.Base {
		return nil, ErrBaseMismatch
	}
	if c.RequiresKey && d.Digest == 0 {
		return nil, ErrDigestMismatch // a sender that knows no tenants would open all routes
	}
	next := &Config{
		Version:  d.Version,
		Routes:   merged(c.Routes, routeName, d.Put, d.Drop),
		Services: d.Services,
		Limits:   d.Limits,
		RequiresKey:    d.RequiresKey,
		Tenants:  merged(c.Tenants, tenantName, d.PutTenants, d.DropTenants),
	}
	if d.Digest != 0 && next.Digest() != d.Digest {
		return nil, ErrDigestMismatch
	}
	return next, next.Check()
}

// merged returns a list without the names that a delta puts or drops, and with what it puts.
// The names go into a set: where most of many entries are dropped, to look each up in the
// list takes far longer (BenchmarkApply).
func merged[T any](from []T, name func(*T) string, put []T, drop []string) []T {
	gone := make(map[string]bool, len(put)+len(drop))
	for i := range put {
		gone[name(&put[i])] = true
	}
	for _, n := range drop {
		gone[n] = true
	}
	if len(from)+len(put) == 0 {
		return nil
	}
	out := make([]T, 0, len(from)+len(put))
	for i := range from {
		if !gone[name(&from[i])] {
			out = append(out, from[i])
		}
	}
	return append(out, put...)
}

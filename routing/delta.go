package routing

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta is the difference between two configurations. Most changes touch a few of hundreds of
// routes; sending the whole configuration would cost every host tens of kilobytes and the time to
// decode them. Applying a Delta yields the same routes and tenants, possibly in another order; a
// Table does not depend on the order.
type Delta struct {
	Base    uint64 `msgpack:"base"`
	Version uint64 `msgpack:"version"`
	// Put holds, for each name with an added, removed or changed route, all routes of this
	// name. They replace all routes of the name, since names need not be unique.
	Put []Route `msgpack:"put"`
	// Drop holds the names that have no route left.
	Drop []string `msgpack:"drop"`
	// PutTenants holds the added and changed tenants, DropTenants the names of the removed
	// ones.
	PutTenants  []Tenant  `msgpack:"put_tenants"`
	DropTenants []string  `msgpack:"drop_tenants"`
	Services    []Service `msgpack:"services"`
	Limits      Limits    `msgpack:"limits"`
	RequiresKey bool      `msgpack:"keyed"`
	// Digest is the digest of the resulting configuration. It is 0 if the sender runs a
	// version without digests.
	Digest uint64 `msgpack:"digest_3"`
}

// Errors of Apply, to be tested with errors.Is.
var (
	// ErrBaseMismatch means that the delta applies to another version of the configuration.
	ErrBaseMismatch = errors.New("delta has a different base version")
	// ErrDigestMismatch means that applying the delta does not yield the sender's configuration.
	ErrDigestMismatch = errors.New("configuration after the delta differs from the sender's")
)

// Diff returns the delta between two configurations.
func Diff(from, to *Config) Delta {
	d := Delta{
		Base:        from.Version,
		Version:     to.Version,
		Services:    to.Services,
		Limits:      to.Limits,
		RequiresKey: to.RequiresKey,
		Digest:      to.Digest(),
	}
	d.Put, d.Drop = diffByName(to.Routes, routeName, routeDigests(from.Routes), routeDigests(to.Routes))
	d.PutTenants, d.DropTenants = diffByName(to.Tenants, tenantName, tenantDigests(from.Tenants), tenantDigests(to.Tenants))
	return d
}

func routeName(r *Route) string { return r.Name }

func tenantName(t *Tenant) string { return t.Name }

// diffByName compares two lists by the digest of each name. It returns the entries of the new
// list that were added or changed, and the names that were removed.
func diffByName[T any](to []T, name func(*T) string, old, next map[string]uint64) (put []T, drop []string) {
	for i := range to {
		n := name(&to[i])
		digest, existed := old[n]
		if !existed || digest != next[n] {
			put = append(put, to[i])
		}
	}
	for n := range old {
		if _, exists := next[n]; !exists {
			drop = append(drop, n)
		}
	}
	slices.Sort(drop)
	return put, drop
}

// Apply returns the configuration with a delta applied.
//
// The sender may have a different configuration of the same base version, in which case this host
// would end up without some routes. Apply therefore compares the digest of the result and fails
// with ErrDigestMismatch. The host then keeps its configuration until it receives a whole one.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c == nil || c.Version != d.Base {
		return nil, ErrBaseMismatch
	}
	if c.RequiresKey && d.Digest == 0 {
		return nil, ErrDigestMismatch // the sender does not support tenants: all routes would be public
	}
	next := &Config{
		Version:     d.Version,
		Routes:      mergeByName(c.Routes, routeName, d.Put, d.Drop),
		Services:    d.Services,
		Limits:      d.Limits,
		RequiresKey: d.RequiresKey,
		Tenants:     mergeByName(c.Tenants, tenantName, d.PutTenants, d.DropTenants),
	}
	if d.Digest != 0 && next.Digest() != d.Digest {
		return nil, ErrDigestMismatch
	}
	return next, next.Check()
}

// mergeByName returns a list with the entries of all names in put and drop removed, and put
// appended. The names are kept in a set: with most of many entries dropped, a linear search for
// each takes far longer (BenchmarkApply).
func mergeByName[T any](from []T, name func(*T) string, put []T, drop []string) []T {
	replaced := make(map[string]bool, len(put)+len(drop))
	for i := range put {
		replaced[name(&put[i])] = true
	}
	for _, n := range drop {
		replaced[n] = true
	}
	if len(from)+len(put) == 0 {
		return nil
	}
	out := make([]T, 0, len(from)+len(put))
	for i := range from {
		if !replaced[name(&from[i])] {
			out = append(out, from[i])
		}
	}
	return append(out, put...)
}

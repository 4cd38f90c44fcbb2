package routing

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta leads from one configuration to another. Most changes touch a few of
// hundreds of routes; passed on whole, each would cost every host tens of
// kilobytes and the time to decode them. It leads to the same routes, in some other
// order; a Table does not depend on the order.
type Delta struct {
	Base    uint64 `msgpack:"base"`
	Version uint64 `msgpack:"version"`
	// Put are all routes of each name of which one came, went or changed: names need not
	// be unique. They replace all that had the name.
	Put []Route `msgpack:"put"`
	// Drop names the routes that are gone, of names that have none left.
	Drop     []string  `msgpack:"drop"`
	Services []Service `msgpack:"services"`
	Limits   Limits    `msgpack:"limits"`
	// Digest is that of the configuration that the delta leads to; 0 if not told, as by
	// hosts whose program lacks it.
	Digest uint64 `msgpack:"digest_2"`
}

// Reasons why a delta is not applied, to be tested with errors.Is.
var (
	// ErrOtherBase says that a delta does not begin at the configuration at hand.
	ErrOtherBase = errors.New("delta begins at another configuration")
	// ErrOtherResult says that a delta leads to another configuration than its sender has.
	ErrOtherResult = errors.New("delta leads to another configuration")
)

// Diff returns what leads from one configuration to another.
func Diff(from, to *Config) Delta {
	d := Delta{
		Base:     from.Version,
		Version:  to.Version,
		Services: to.Services,
		Limits:   to.Limits,
		Digest:   to.Digest(),
	}
	old, next := from.marks(), to.marks()
	for _, r := range to.Routes {
		mark, had := old[r.Name]
		if !had || mark != next[r.Name] {
			d.Put = append(d.Put, r)
		}
	}
	for name := range old {
		if _, has := next[name]; !has {
			d.Drop = append(d.Drop, name)
		}
	}
	slices.Sort(d.Drop)
	return d
}

// Apply returns the configuration that a delta leads to.
//
// Failure: the sender of a delta has another configuration of the same version, or its
// program makes deltas in another way. Symptom: this host tells callers of a route that
// it alone lacks 404 for as long as the routes of that name do not change again. The
// digest shows it; the host keeps what it has, the next heartbeat shows that it is behind,
// and it is told the configuration whole.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c == nil || c.Version != d.Base {
		return nil, ErrOtherBase
	}
	next := &Config{Version: d.Version, Routes: d.routes(c), Services: d.Services, Limits: d.Limits}
	if d.Digest != 0 && next.Digest() != d.Digest {
		return nil, ErrOtherResult
	}
	return next, next.Check()
}

// routes returns the routes that a delta leads to. The names go into a set: where most of
// many routes are dropped, to look each up in the list takes far longer (BenchmarkApply).
func (d *Delta) routes(from *Config) []Route {
	gone := make(map[string]bool, len(d.Put)+len(d.Drop))
	for i := range d.Put {
		gone[d.Put[i].Name] = true
	}
	for _, name := range d.Drop {
		gone[name] = true
	}
	out := make([]Route, 0, len(from.Routes)+len(d.Put))
	for i := range from.Routes {
		if !gone[from.Routes[i].Name] {
			out = append(out, from.Routes[i])
		}
	}
	return append(out, d.Put...)
}

package routing

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta leads from one configuration to another. Most changes touch a few of
// hundreds of routes; passed on whole, each would cost every host tens of
// kilobytes and the time to decode them.
type Delta struct {
	Base    uint64  `msgpack:"base"`
	Version uint64  `msgpack:"version"`
	Put     []Route `msgpack:"put"`
	// Drop names the routes that are gone.
	Drop     []string  `msgpack:"drop"`
	Services []Service `msgpack:"services"`
	Limits   Limits    `msgpack:"limits"`
}

// ErrOtherBase says that a delta does not begin at the configuration at hand.
var ErrOtherBase = errors.New("delta begins at another configuration")

// Diff returns what leads from one configuration to another.
func Diff(from, to *Config) Delta {
	d := Delta{Base: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	old := byName(from)
	for _, r := range to.Routes {
		have, ok := old[r.Name]
		if !ok || !have.equal(&r) {
			d.Put = append(d.Put, r)
		}
		delete(old, r.Name)
	}
	for name := range old {
		d.Drop = append(d.Drop, name)
	}
	slices.Sort(d.Drop)
	return d
}

func byName(c *Config) map[string]*Route {
	m := make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		m[c.Routes[i].Name] = &c.Routes[i]
	}
	return m
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Priority == o.Priority &&
		r.MaxAttempts == o.MaxAttempts && slices.Equal(r.Parts, o.Parts)
}

// Apply returns the configuration that a delta leads to.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c == nil || c.Version != d.Base {
		return nil, ErrOtherBase
	}
	next := &Config{Version: d.Version, Services: d.Services, Limits: d.Limits}
	put := make(map[string]bool, len(d.Put))
	for _, r := range d.Put {
		put[r.Name] = true
	}
	for _, r := range c.Routes {
		if !put[r.Name] && !slices.Contains(d.Drop, r.Name) {
			next.Routes = append(next.Routes, r)
		}
	}
	next.Routes = append(next.Routes, d.Put...)
	return next, next.Check()
}

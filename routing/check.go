package routing

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Check returns an error if the configuration is invalid. An invalid configuration is never
// applied: the last valid one stays in force.
func (c *Config) Check() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" {
			return errors.New("service has no name")
		}
		if s.WarmUp < 0 || s.ColdRate < 0 {
			return errors.Newf("service %q has a negative warm-up time or cold rate", s.Name)
		}
		services[s.Name] = true
	}
	if err := c.checkTenants(); err != nil {
		return err
	}
	for _, r := range c.Routes {
		if err := r.check(services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("prefix %q does not start and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return errors.New("no timeout")
	}
	total := 0.0
	for _, p := range r.Split {
		if !services[p.Service] {
			return errors.Newf("unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			return errors.Newf("service %q has a negative weight", p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		return errors.New("no service with a positive weight")
	}
	return nil
}

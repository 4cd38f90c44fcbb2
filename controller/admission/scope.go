package admission

import (
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
	"github.com/cactusproxy/cactusproxy/routing"
)

// scope says which services of a routing table are subject to admission control, and how shares
// are weighted.
type scope struct {
	table *routing.Table
	// all is set if the configuration has tenants; otherwise services are those reached by routes
	// of different priorities.
	all      bool
	services map[string]bool
	weights  policy.Weights
}

func newScope(t *routing.Table, byPriority bool) *scope {
	s := &scope{table: t}
	if t == nil {
		return s
	}
	if tenants := t.Config.Tenants; len(tenants) > 0 {
		s.all, s.weights = true, policy.QuotaWeights(meanQuota(tenants), func(name string) float64 {
			if tenant := t.Tenant(name); tenant != nil {
				return tenant.Rate
			}
			return 0
		})
		return s
	}
	if !byPriority {
		return s
	}
	s.services = make(map[string]bool)
	priorities := make(map[string]int)
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		for _, part := range r.Split {
			if p, known := priorities[part.Service]; known && p != r.Priority {
				s.services[part.Service] = true
			}
			priorities[part.Service] = r.Priority
		}
	}
	return s
}

// meanQuota returns the mean rate of the tenants' quotas, in requests per second; 0 if there are
// none.
func meanQuota(tenants []routing.Tenant) float64 {
	sum, n := 0.0, 0
	for i := range tenants {
		if tenants[i].HasQuota() {
			sum += tenants[i].Rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (s *scope) active(service string) bool { return s.all || s.services[service] }

// currentScope returns the scope of the routing table on the board.
func (c *Controller) currentScope() *scope {
	t := c.deps.Board.Routes.Load()
	s := c.scope.Load()
	if s == nil || s.table != t {
		s = newScope(t, c.deps.ByPriority)
		c.scope.Store(s)
	}
	return s
}

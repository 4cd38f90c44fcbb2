package quota

import (
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/quota"
)

// Tenants provides the quotas of tenants from the routing configuration on a board.
type Tenants struct{ Board *blackboard.Board }

// Limit implements Limits.
func (t Tenants) Limit(name string) (l quota.Limit, known bool) {
	table := t.Board.Routes.Load()
	if table == nil {
		return l, false
	}
	tenant := table.Tenant(name)
	if tenant == nil {
		return l, false
	}
	return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, true
}

// Observed implements Limits. Tenants' quotas are always configured.
func (Tenants) Observed(string) quota.ObservedLimit { return quota.ObservedLimit{} }

// Observe implements Limits.
func (Tenants) Observe(string, quota.ObservedLimit) {}

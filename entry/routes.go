package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/denial"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/policy/sizes"
	"github.com/cactusproxy/cactusproxy/policy/waittime"
	"github.com/cactusproxy/cactusproxy/routing"
)

// maxReplayBody is the largest body, in bytes, that is kept in memory for retries on platforms
// that declare routes.
const maxReplayBody = 1 << 20

// RouteFinder is a Finder that uses the routing table on the board.
type RouteFinder struct {
	board     *blackboard.Board
	workspace *declare.Workspace
	confirmer Confirmer

	mu sync.Mutex
	// table is the routing table that services was built from.
	table    *routing.Table
	services map[routing.Match]*declare.Service
	// stats is keyed by route name and survives configuration changes.
	stats map[string]*routeStats
}

// routeStats holds what has been observed of the requests of one route.
type routeStats struct {
	patience waittime.Estimator
	sizes    sizes.Estimator
}

var _ Finder = (*RouteFinder)(nil)

// Confirmer checks whether the routing table on the board is the newest.
type Confirmer interface {
	// Confirm puts what it learns on the board. It returns quickly, even if no other host can
	// tell, and when ctx ends.
	Confirm(ctx context.Context)
}

// NewRouteFinder returns a RouteFinder for the routing table on a board.
func NewRouteFinder(b *blackboard.Board, c Confirmer) *RouteFinder {
	return &RouteFinder{board: b, confirmer: c, workspace: &declare.Workspace{Name: routing.Workspace}}
}

// Find implements Finder.
func (f *RouteFinder) Find(ctx context.Context, q RouteQuery) (Match, outcome.Result) {
	table := f.board.Routes.Load()
	if table == nil {
		return Match{}, outcome.Refuse(outcome.ReasonNotReady)
	}
	m, reason := lookup(table, q)
	if reason != "" && f.confirm(ctx, table.Config.Version) {
		table = f.board.Routes.Load() // a newer one may have arrived in the meantime
		m, reason = lookup(table, q)
	}
	if reason != "" {
		version := table.Config.Version
		return Match{ConfigVersion: version}, f.denialResult(version, reason)
	}
	return f.match(table, q, m)
}

// MayRunAhead implements Finder. Downloads don't run ahead: their responses are too large to be
// buffered, so that they would occupy a slot of a target until their turn.
func (f *RouteFinder) MayRunAhead(q RouteQuery) bool {
	table := f.board.Routes.Load()
	if table == nil {
		return false
	}
	m, reason := lookup(table, q)
	return reason == "" && m.Route.Kind == routing.Safe
}

// lookupResult is the match for a request in one routing table, and its tenant.
type lookupResult struct {
	routing.Match
	// tenant is nil if the request needs no API key.
	tenant *routing.Tenant
}

// lookup returns the match for a request, or the reason why the table doesn't allow it.
func lookup(table *routing.Table, q RouteQuery) (lookupResult, outcome.Reason) {
	m, ok := table.Find(q.Host, q.Path)
	if !ok {
		return lookupResult{}, outcome.ReasonNoRoute
	}
	if m.Route.Public || !table.Config.RequiresKey {
		return lookupResult{Match: m}, ""
	}
	tenant := table.TenantByKey(q.Key)
	if tenant == nil {
		return lookupResult{}, outcome.ReasonUnknownKey
	}
	return lookupResult{Match: m, tenant: tenant}, ""
}

func (f *RouteFinder) match(table *routing.Table, q RouteQuery, m lookupResult) (Match, outcome.Result) {
	idempotency := dispatch.NonIdempotent
	if m.Route.Kind.Retryable() {
		idempotency = dispatch.Idempotent
	}
	service, stats := f.service(table, m.Match)
	out := Match{
		Workspace:     f.workspace,
		Service:       service,
		WaitEstimator: &stats.patience,
		ResponseSizes: &stats.sizes,
		Idempotency:   idempotency,
		Route:         m.Route.Name,
		Objective:     m.Route.Objective,
		Priority:      m.Route.Priority,
		Regions:       m.Route.Regions,

		ConfigVersion: table.Config.Version,
	}
	if m.tenant == nil {
		return out, outcome.Result{}
	}
	out.Tenant = m.tenant.Name
	out.StillAuthorized = f.authorizer(table, q.Key, m.tenant.Name)
	if m.tenant.Priority != routing.InheritPriority {
		out.Priority = m.tenant.Priority
	}
	regions, ok := intersectRegions(m.Route.Regions, m.tenant.Regions)
	if !ok {
		return Match{ConfigVersion: table.Config.Version}, outcome.Refuse(outcome.ReasonNoTarget)
	}
	out.Regions = regions
	return out, outcome.Result{}
}

// authorizer returns a function that reports whether a tenant still owns an API key.
func (f *RouteFinder) authorizer(checked *routing.Table, key, tenant string) func() bool {
	return func() bool {
		table := f.board.Routes.Load()
		if table == checked {
			return true
		}
		holder := table.TenantByKey(key)
		return !table.Config.RequiresKey || holder != nil && holder.Name == tenant
	}
}

// intersectRegions returns the regions that are in both lists, where an empty list stands for all
// regions. It returns false if there are none.
func intersectRegions(a, b []string) (list []string, ok bool) {
	if len(a) == 0 || len(b) == 0 {
		return slices.Concat(a, b), true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			list = append(list, region)
		}
	}
	return list, len(list) > 0
}

// Deny implements Finder.
func (f *RouteFinder) Deny(ctx context.Context, version uint64, reason outcome.Reason) outcome.Result {
	f.confirm(ctx, version)
	return f.denialResult(version, reason)
}

// confirm checks whether a version is the newest and reports whether it did. The check is skipped
// if the answer is known, which includes that a newer version has been heard of.
func (f *RouteFinder) confirm(ctx context.Context, version uint64) bool {
	k := f.knowledge(version)
	if k.MayDeny() || k.Behind() {
		return false
	}
	f.confirmer.Confirm(ctx)
	return true
}

// denialResult returns the result for a request that a version doesn't allow. If that is the
// newest version, the request is invalid; otherwise the caller is told to retry.
func (f *RouteFinder) denialResult(version uint64, reason outcome.Reason) outcome.Result {
	k := f.knowledge(version)
	r := outcome.Refuse(reason)
	if !k.MayDeny() {
		r = outcome.Refuse(outcome.ReasonConfigUnconfirmed)
	}
	r.Detail = k.String()
	return r
}

// knowledge returns what is known about whether a version is the newest.
func (f *RouteFinder) knowledge(version uint64) denial.ConfigState {
	c := f.board.Confirmation.Load()
	k := denial.ConfigState{Version: version, Newest: max(version, c.Newest), Age: denial.Never}
	if !c.At.IsZero() {
		k.Age = max(0, instant.Elapsed(c.At, time.Now()))
	}
	return k
}

// service returns the declaration of a service as one route uses it, which is built once per
// configuration, and the stats of the route.
func (f *RouteFinder) service(table *routing.Table, m routing.Match) (*declare.Service, *routeStats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != table {
		f.reset(table)
	}
	s := f.services[m]
	if s == nil {
		s = &declare.Service{
			Name:          m.Service.Name,
			MaxConns:      m.Service.MaxConns,
			Timeout:       m.Route.Timeout,
			MaxAttempts:   m.Route.MaxAttempts,
			MaxReplayBody: maxReplayBody,
			MaxBody:       table.Config.Limits.MaxBodyBytes,
			HealthPath:    m.Service.HealthPath,
		}
		f.services[m] = s
	}
	return s, f.stats[m.Route.Name]
}

// reset rebuilds the caches for a new configuration. The caller holds the lock.
func (f *RouteFinder) reset(table *routing.Table) {
	f.table = table
	f.services = make(map[routing.Match]*declare.Service)
	next := make(map[string]*routeStats, len(table.Config.Routes))
	for _, r := range table.Config.Routes {
		l := f.stats[r.Name]
		if l == nil {
			l = new(routeStats)
		}
		next[r.Name] = l
	}
	f.stats = next
}

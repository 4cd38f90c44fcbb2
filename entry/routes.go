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
	"github.com/cactusproxy/cactusproxy/policy/waited"
	"github.com/cactusproxy/cactusproxy/routing"
)

// maxReplayBody is the largest body in bytes that is kept in memory for another
// attempt, on platforms that declare routes.
const maxReplayBody = 1 << 20

// RouteFinder finds where a request leads by the routes on the board.
type RouteFinder struct {
	board     *blackboard.Board
	workspace *declare.Workspace
	confirmer Confirmer

	mu sync.Mutex
	// table is the one that services was made for.
	table    *routing.Table
	services map[routing.Match]*declare.Service
	// learned is kept by the route's name, beyond a change of the configuration.
	learned map[string]*learned
}

// learned is what the requests of one route have shown.
type learned struct {
	patience waited.Patience
	sizes    sizes.Usual
}

var _ Finder = (*RouteFinder)(nil)

// Confirmer finds out whether the routes on the board are the newest.
type Confirmer interface {
	// Confirm puts what it learns on the board. It returns soon, also if nobody can tell, and
	// when ctx ends.
	Confirm(ctx context.Context)
}

// NewRouteFinder returns a finder over the routes on a board.
func NewRouteFinder(b *blackboard.Board, c Confirmer) *RouteFinder {
	return &RouteFinder{board: b, confirmer: c, workspace: &declare.Workspace{Name: routing.Workspace}}
}

// Find implements Finder.
func (f *RouteFinder) Find(ctx context.Context, a Address) (Match, outcome.Result) {
	table := f.board.Routes.Load()
	if table == nil {
		return Match{}, outcome.Refuse(outcome.ReasonNotReady)
	}
	m, reason := look(table, a)
	if reason != "" && f.confirm(ctx, table.Config.Version) {
		table = f.board.Routes.Load() // a newer one may have come meanwhile
		m, reason = look(table, a)
	}
	if reason != "" {
		version := table.Config.Version
		return Match{ConfigVersion: version}, f.judge(version, reason)
	}
	return f.match(table, a, m)
}

// found is where a request leads by one table, and whose it is.
type found struct {
	routing.Match
	// tenant is nil if the request needs no key.
	tenant *routing.Tenant
}

// look finds where a request leads, or why a table does not allow it.
func look(table *routing.Table, a Address) (found, outcome.Reason) {
	m, ok := table.Find(a.Host, a.Path)
	if !ok {
		return found{}, outcome.ReasonNoRoute
	}
	if m.Route.Public || !table.Config.RequiresKey {
		return found{Match: m}, ""
	}
	tenant := table.TenantByKey(a.Key)
	if tenant == nil {
		return found{}, outcome.ReasonUnknownKey
	}
	return found{Match: m, tenant: tenant}, ""
}

func (f *RouteFinder) match(table *routing.Table, a Address, m found) (Match, outcome.Result) {
	repeat := dispatch.Once
	if m.Route.Kind.Retryable() {
		repeat = dispatch.Idempotent
	}
	service, learned := f.service(table, m.Match)
	out := Match{
		Workspace: f.workspace,
		Service:   service,
		Patience:  &learned.patience,
		Sizes:     &learned.sizes,
		Repeat:    repeat,
		Route:     m.Route.Name,
		Objective: m.Route.Objective,
		Priority:  m.Route.Priority,
		Regions:   m.Route.Regions,

		ConfigVersion: table.Config.Version,
	}
	if m.tenant == nil {
		return out, outcome.Result{}
	}
	out.Tenant = m.tenant.Name
	out.Allowed = f.allowed(table, a.Key, m.tenant.Name)
	if m.tenant.Priority != routing.InheritPriority {
		out.Priority = m.tenant.Priority
	}
	regions, some := both(m.Route.Regions, m.tenant.Regions)
	if !some {
		return Match{ConfigVersion: table.Config.Version}, outcome.Refuse(outcome.ReasonNoTarget)
	}
	out.Regions = regions
	return out, outcome.Result{}
}

// allowed returns what reports whether a tenant still holds a key.
func (f *RouteFinder) allowed(then *routing.Table, key, tenant string) func() bool {
	return func() bool {
		table := f.board.Routes.Load()
		if table == then {
			return true
		}
		holder := table.TenantByKey(key)
		return !table.Config.RequiresKey || holder != nil && holder.Name == tenant
	}
}

// both returns the regions that are in two lists, of which an empty one means all; false means
// that there is none.
func both(a, b []string) (list []string, some bool) {
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
	return f.judge(version, reason)
}

// confirm finds out whether a version is the newest, if that is not known, and reports whether
// it had to. A version that is older than one that was heard of needs no asking.
func (f *RouteFinder) confirm(ctx context.Context, version uint64) bool {
	k := f.knowledge(version)
	if k.Allowed() || k.Behind() {
		return false
	}
	f.confirmer.Confirm(ctx)
	return true
}

// judge returns what a caller is told whose request a version does not allow. One that the
// newest configuration does not allow is wrong; one that any other does not allow is to come
// again.
func (f *RouteFinder) judge(version uint64, reason outcome.Reason) outcome.Result {
	k := f.knowledge(version)
	r := outcome.Refuse(reason)
	if !k.Allowed() {
		r = outcome.Refuse(outcome.ReasonConfigUnconfirmed)
	}
	r.Detail = k.String()
	return r
}

// knowledge returns how much is known of whether a version is the newest.
func (f *RouteFinder) knowledge(version uint64) denial.Knowledge {
	c := f.board.Confirmation.Load()
	k := denial.Knowledge{Version: version, Newest: max(version, c.Newest), Age: denial.Never}
	if !c.At.IsZero() {
		k.Age = max(0, instant.Elapsed(c.At, time.Now()))
	}
	return k
}

// service returns the declaration of a service as one route uses it, which is made
// once for each configuration, and what the route's requests have shown.
func (f *RouteFinder) service(table *routing.Table, m routing.Match) (*declare.Service, *learned) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != table {
		f.renew(table)
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
	return s, f.learned[m.Route.Name]
}

// renew begins anew for a configuration. The lock is held.
func (f *RouteFinder) renew(table *routing.Table) {
	f.table = table
	f.services = make(map[routing.Match]*declare.Service)
	next := make(map[string]*learned, len(table.Config.Routes))
	for _, r := range table.Config.Routes {
		l := f.learned[r.Name]
		if l == nil {
			l = new(learned)
		}
		next[r.Name] = l
	}
	f.learned = next
}

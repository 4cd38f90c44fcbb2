package entry

import (
	"sync"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/dispatch"
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

// NewRouteFinder returns a finder over the routes on a board.
func NewRouteFinder(b *blackboard.Board) *RouteFinder {
	return &RouteFinder{board: b, workspace: &declare.Workspace{Name: routing.Workspace}}
}

// Find implements Finder.
func (f *RouteFinder) Find(host, path string) (Match, bool) {
	table := f.board.Routes.Load()
	if table == nil {
		return Match{}, false
	}
	m, ok := table.Find(host, path)
	if !ok {
		return Match{}, false
	}
	repeat := dispatch.Once
	if m.Route.Kind.Repeatable() {
		repeat = dispatch.Idempotent
	}
	service, learned := f.service(table, m)
	return Match{
		Workspace: f.workspace,
		Service:   service,
		Patience:  &learned.patience,
		Sizes:     &learned.sizes,
		Repeat:    repeat,
		Objective: m.Route.Objective,
		Priority:  m.Route.Priority,

		ConfigVersion: table.Config.Version,
	}, true
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

// Package entry takes callers' requests over HTTP, finds out which service each
// is for, hands it to the dispatcher and writes what came of it.
package entry

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/policy/sizes"
	"github.com/cactusproxy/cactusproxy/policy/waittime"
)

// router finds the workspace and service of a request. It is built once for
// each configuration and immutable after that, so a change of configuration
// takes hold between two requests and never within one.
type router struct {
	byHost map[string]*workspaceRoutes
	byName map[string]*workspaceRoutes
}

// workspaceRoutes holds a workspace's services, longest path prefix first.
type workspaceRoutes struct {
	workspace *declare.Workspace
	services  []*declare.Service
}

// Match is where a request leads.
type Match struct {
	Workspace *declare.Workspace
	Service   *declare.Service
	// Path is what the service sees: without the workspace's name if that was
	// how the workspace was found.
	Path string
	// Repeat says what may be repeated; 0 leaves it to the method and the
	// service's declaration.
	Repeat dispatch.Repeat
	// Objective and Priority are those of dispatch.Call.
	Objective time.Duration
	Priority  int
	// Route is the name of the route, if routes have names.
	Route string
	// Tenant is the name of the tenant whose key the request has; empty if it needs none.
	Tenant string
	// Allowed is that of dispatch.Call.
	Allowed func() bool
	// Regions are the only ones whose targets may get the request; all if empty.
	Regions []string
	// Patience, if set, tells how long callers of the route have been waiting.
	Patience *waittime.Estimator
	// Sizes, if set, learns how large answers of the route are.
	Sizes *sizes.Estimator
	// ConfigVersion is the version of the configuration that was asked.
	ConfigVersion uint64
}

func newRouter(c *declare.Config) *router {
	r := &router{
		byHost: make(map[string]*workspaceRoutes),
		byName: make(map[string]*workspaceRoutes, len(c.Workspaces)),
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		routes := newWorkspaceRoutes(w)
		r.byName[w.Name] = routes
		for _, h := range w.HostNames {
			r.byHost[strings.ToLower(h)] = routes
		}
	}
	return r
}

func newWorkspaceRoutes(w *declare.Workspace) *workspaceRoutes {
	routes := &workspaceRoutes{workspace: w}
	for i := range w.Services {
		routes.services = append(routes.services, &w.Services[i])
	}
	slices.SortStableFunc(routes.services, func(a, b *declare.Service) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return routes
}

// find returns where a request leads. A workspace is found by the host name
// or, if none declares that name, by the first segment of the path.
func (r *router) find(host, path string) (Match, bool) {
	if routes := r.byHost[hostName(host)]; routes != nil {
		return routes.find(path)
	}
	name, rest := splitFirst(path)
	if routes := r.byName[name]; routes != nil {
		return routes.find(rest)
	}
	return Match{}, false
}

func (w *workspaceRoutes) find(path string) (Match, bool) {
	for _, s := range w.services {
		if s.Covers(path) {
			return Match{Workspace: w.workspace, Service: s, Path: path}, true
		}
	}
	return Match{}, false
}

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// splitFirst splits /a/b/c into a and /b/c.
func splitFirst(path string) (first, rest string) {
	path = strings.TrimPrefix(path, "/")
	first, rest, _ = strings.Cut(path, "/")
	return first, "/" + rest
}

// Package entry is the HTTP front end for callers. It maps each request to a service, checks the
// caller's API key and quota, passes the call to the dispatcher and writes the reply. It also
// limits the rate at which request bodies are read and keeps connections usable when a target
// responds before the whole upload has been read.
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

// router maps a request to a workspace and service. It is built once per configuration and is then
// immutable, so that a configuration change takes effect between requests and never within one.
type router struct {
	byHost map[string]*workspaceRoutes
	byName map[string]*workspaceRoutes
}

// workspaceRoutes lists a workspace's services, longest path prefix first.
type workspaceRoutes struct {
	workspace *declare.Workspace
	services  []*declare.Service
}

// Match is the result of routing a request.
type Match struct {
	Workspace *declare.Workspace
	Service   *declare.Service
	// Path is the path that the service receives: without the workspace's name if the workspace
	// was found by it.
	Path string
	// Idempotency says whether the call may be retried; 0 means that this depends on the method
	// and the service's declaration.
	Idempotency dispatch.Idempotency
	// Objective and Priority are as in dispatch.Call.
	Objective time.Duration
	Priority  int
	// Route is the name of the route; empty if routes have no names.
	Route string
	// Tenant is the name of the tenant that owns the request's API key; empty if the route
	// needs none.
	Tenant string
	// StillAuthorized is as in dispatch.Call.
	StillAuthorized func() bool
	// Regions restricts the targets to these regions; empty allows all.
	Regions []string
	// WaitEstimator, if set, estimates how long callers of the route have been waiting.
	WaitEstimator *waittime.Estimator
	// ResponseSizes, if set, records the sizes of the route's responses.
	ResponseSizes *sizes.Estimator
	// ConfigVersion is the version of the configuration that was used.
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

// find returns the match for a request. A workspace is found by the host name or, if no workspace
// declares that name, by the first segment of the path.
func (r *router) find(host, path string) (Match, bool) {
	if routes := r.byHost[hostName(host)]; routes != nil {
		return routes.find(path)
	}
	name, rest := splitFirstSegment(path)
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

// hostName returns the value of a Host header without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// splitFirstSegment splits /a/b/c into a and /b/c.
func splitFirstSegment(path string) (first, rest string) {
	path = strings.TrimPrefix(path, "/")
	first, rest, _ = strings.Cut(path, "/")
	return first, "/" + rest
}

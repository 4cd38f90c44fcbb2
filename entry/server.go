package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/semaphore"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/calllog"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Dispatcher executes calls. It is implemented by dispatch.Dispatcher.
type Dispatcher interface {
	Admit(c *dispatch.Call) (release func(), refusal outcome.Result)
	Do(ctx context.Context, c *dispatch.Call) *dispatch.Reply
}

// Paths on the callers' listener that cactusproxy serves itself.
const (
	// PathReady responds with 200 while the host accepts new calls and with 503 otherwise. It is
	// the health check of the platform's load balancer.
	PathReady = "/.cactusproxy/ready"
	// PathKeys issues an idempotency key: POST /.cactusproxy/keys/<workspace>/<service>.
	PathKeys = "/.cactusproxy/keys/{workspace}/{service}"
)

// Deps holds the dependencies and settings of a Server.
type Deps struct {
	Board      *blackboard.Board
	Dispatcher Dispatcher
	Metrics    *metrics.Set
	// ConfigFresh reports whether the configuration was confirmed recently, evaluated at the
	// time of the call. After a pause of the process, the status on the board is outdated for a
	// fraction of a second, in which a host could serve a configuration that has been replaced.
	ConfigFresh func() bool
	// BodyMemory bounds the total size, in bytes, of the request bodies that this host keeps in
	// memory for retries.
	BodyMemory int64
	// UploadMemory bounds the memory, in bytes, of the requests whose body is sent on as it arrives; 0
	// means no limit.
	UploadMemory int64
	// LinkBytesPerSecond is the capacity of this host's link in each direction; 0 if unknown.
	LinkBytesPerSecond float64
	// WatchesStore reports whether this host watches the store on behalf of all others.
	WatchesStore func() bool
	// IssueKey creates an idempotency key bound to this host. It returns "" if the settings name
	// no cluster key.
	IssueKey func(workspace, service, caller string) string
	// Contract names the headers exchanged with callers and targets; nil means
	// targetapi.Default.
	Contract *targetapi.Contract
	// Finder routes requests; nil means routing by the services that the workspaces on the board
	// declare.
	Finder Finder
	// Quota may be nil, in which case tenants have no quotas.
	Quota Quota
	// AwaitStart waits until a host that has just started is ready to serve or ctx ends, and
	// reports whether it is ready. If it is nil, calls to a starting host are refused
	// immediately.
	AwaitStart func(ctx context.Context) bool
	// ReplicaAge returns how long ago this host's copy of the platform's state was last known to be
	// complete. AwaitCurrent waits until calls may be routed by it or ctx ends, and reports whether
	// they may be. Both are nil on platforms where ConfigFresh tells.
	ReplicaAge   func() time.Duration
	AwaitCurrent func(ctx context.Context) bool
	// CallLog receives every finished call; it may be nil.
	CallLog CallLog
}

// CallLog receives finished calls.
type CallLog interface {
	Ended(c calllog.Call)
}

// RouteQuery is the part of a request that determines its route.
type RouteQuery struct {
	Host, Path string
	// Key is the caller's API key; empty if the request has none or more than one.
	Key string
}

// Quota enforces the quotas of tenants.
type Quota interface {
	// Refused returns the refusal of a tenant's request if the tenant is already known to be
	// over quota, and otherwise the zero Result.
	Refused(tenant string) outcome.Result
	// Take counts a request of a tenant. The zero Result means that the request may run.
	Take(ctx context.Context, r quota.Request) outcome.Result
	// Return gives back what was taken for a request that did not run.
	Return(tenant string)
}

// Finder routes requests.
type Finder interface {
	// Find returns the match for a request and the zero Result. If the request is refused, the
	// Result is the refusal and only the ConfigVersion of the match is valid.
	Find(ctx context.Context, q RouteQuery) (Match, outcome.Result)
	// MayRunAhead reports whether requests of this kind may run before earlier ones of their
	// connection are answered. It doesn't block.
	MayRunAhead(q RouteQuery) bool
	// Deny returns the result for a request that a version of the configuration doesn't allow,
	// for the given reason.
	Deny(ctx context.Context, version uint64, reason outcome.Reason) outcome.Result
}

// Server is the HTTP handler for callers.
type Server struct {
	deps     Deps
	memory   *semaphore.Weighted
	uploads  *semaphore.Weighted // nil if there is no limit
	bodyRate *bodyRateLimiter
	cached   atomic.Pointer[cachedRouter]
	mux      *chi.Mux

	inFlight atomic.Int64
}

// cachedRouter is a router and the configuration that it was built from.
type cachedRouter struct {
	config *declare.Config
	router *router
}

// New returns a Server. A nil Contract is replaced by targetapi.Default.
func New(deps Deps) *Server {
	if deps.Contract == nil {
		deps.Contract = targetapi.Default()
	}
	s := &Server{
		deps:     deps,
		memory:   semaphore.NewWeighted(deps.BodyMemory),
		bodyRate: newBodyRateLimiter(deps.LinkBytesPerSecond, deps.WatchesStore),
	}
	if deps.UploadMemory > 0 {
		s.uploads = semaphore.NewWeighted(deps.UploadMemory)
	}
	s.mux = chi.NewRouter()
	s.mux.Get(PathReady, s.ready)
	s.mux.Post(PathKeys, s.issueKey)
	s.mux.NotFound(s.handleCall)
	s.mux.MethodNotAllowed(s.handleCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ProxyHandler returns a handler that routes every path to a target and serves none of
// cactusproxy's own paths.
func (s *Server) ProxyHandler() http.Handler { return http.HandlerFunc(s.handleCall) }

// find returns the match for a request, or the refusal.
func (s *Server) find(r *http.Request) (Match, outcome.Result) {
	if s.deps.Finder != nil {
		m, refusal := s.deps.Finder.Find(r.Context(), s.routeQuery(r))
		m.Path = r.URL.Path
		return m, refusal
	}
	m, ok := s.router().find(r.Host, r.URL.Path)
	if !ok {
		return m, outcome.Refuse(outcome.ReasonNoRoute)
	}
	return m, outcome.Result{}
}

// MayRunAhead reports whether a GET or HEAD without a body may run before earlier requests of its
// connection are answered. It doesn't block and may be outdated when the call is made.
func (s *Server) MayRunAhead(r *http.Request) bool {
	status := s.deps.Board.Status.Load()
	return s.deps.Finder != nil && status.Serving() && !status.Leaving && s.deps.Finder.MayRunAhead(s.routeQuery(r))
}

// BodyMemory returns the memory for request bodies, in bytes.
func (s *Server) BodyMemory() *semaphore.Weighted { return s.memory }

// routeQuery returns the part of a request that determines its route.
func (s *Server) routeQuery(r *http.Request) RouteQuery {
	q := RouteQuery{Host: r.Host, Path: r.URL.EscapedPath()}
	if name := s.deps.Contract.Key; name != "" {
		if keys := r.Header[name]; len(keys) == 1 {
			q.Key = keys[0]
		}
	}
	return q
}

// deny returns the refusal of a request that the configuration of its match doesn't allow.
func (s *Server) deny(r *http.Request, m Match, reason outcome.Reason) outcome.Result {
	if s.deps.Finder == nil {
		return outcome.Refuse(reason)
	}
	return s.deps.Finder.Deny(r.Context(), m.ConfigVersion, reason)
}

// InFlight returns the number of calls whose response hasn't been written completely.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// router returns the router for the current configuration. The first request after a change
// rebuilds it.
func (s *Server) router() *router {
	c := s.deps.Board.Config.Load()
	if cached := s.cached.Load(); cached != nil && cached.config == c {
		return cached.router
	}
	built := &cachedRouter{config: c, router: newRouter(c)}
	s.cached.Store(built)
	return built.router
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.deps.Board.Status.Load().Ready() && s.deps.ConfigFresh() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) issueKey(w http.ResponseWriter, r *http.Request) {
	status := s.deps.Board.Status.Load()
	if !status.Ready() || !s.deps.ConfigFresh() {
		s.refuse(w, new(calllog.Call), outcome.Refuse(outcome.ReasonNotReady))
		return
	}
	workspace, service := chi.URLParam(r, "workspace"), chi.URLParam(r, "service")
	if !s.serviceExists(workspace, service) {
		s.refuse(w, new(calllog.Call), outcome.Refuse(outcome.ReasonNoRoute))
		return
	}
	key := s.deps.IssueKey(workspace, service, callerIdentity(r))
	if key == "" {
		s.refuse(w, new(calllog.Call), outcome.Refuse(outcome.ReasonNoKeys))
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, key+"\n")
}

func (s *Server) serviceExists(workspace, service string) bool {
	ws, ok := s.deps.Board.Config.Load().Workspace(workspace)
	if !ok {
		return false
	}
	_, ok = ws.Service(service)
	return ok
}

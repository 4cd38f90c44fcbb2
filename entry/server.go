package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

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

// Dispatcher carries out calls; dispatch.Dispatcher is one.
type Dispatcher interface {
	Admit(c *dispatch.Call) (release func(), refusal outcome.Result)
	Do(ctx context.Context, c *dispatch.Call) *dispatch.Reply
}

// Paths that belong to cactusproxy itself on the callers' listener.
const (
	// PathReady answers 200 while the host takes new calls and 503 otherwise;
	// it is meant for the platform's balancer.
	PathReady = "/.cactusproxy/ready"
	// PathKeys issues an idempotency key: POST /.cactusproxy/keys/<workspace>/<service>.
	PathKeys = "/.cactusproxy/keys/{workspace}/{service}"
)

// Deps is what a Server works with.
type Deps struct {
	Board      *blackboard.Board
	Dispatcher Dispatcher
	Metrics    *metrics.Set
	// ConfigFresh reports, exactly at the moment of the call, whether the
	// configuration was confirmed of late. The board's word follows a pause of
	// the process by a fraction of a second, in which a host could serve a
	// configuration that was replaced meanwhile.
	ConfigFresh func() bool
	// BodyMemory bounds the bodies kept in memory for further attempts, in
	// bytes over all calls of this host.
	BodyMemory int64
	// LinkBytesPerSecond is what this host's link carries each way, in bytes a second; 0 if not
	// known.
	LinkBytesPerSecond float64
	// WatchesStore reports whether this host watches the store for all others.
	WatchesStore func() bool
	// IssueKey makes an idempotency key bound to this host, or returns "" if the
	// settings name no cluster key.
	IssueKey func(workspace, service, caller string) string
	// Contract names the headers; nil stands for targetapi.Default.
	Contract *targetapi.Contract
	// Finder finds where a request leads; nil stands for the services that the
	// workspaces on the board declare.
	Finder Finder
	// Quota may be nil.
	Quota Quota
	// AwaitStart waits until a host that has just started knows enough to serve,
	// or ctx ends, and reports which; nil refuses such calls at once.
	AwaitStart func(ctx context.Context) bool
	// CallLog learns of each call that has ended; nil asks for nothing.
	CallLog CallLog
}

// CallLog learns of calls that have ended.
type CallLog interface {
	Ended(c calllog.Call)
}

// Address is what of a request says where it leads.
type Address struct {
	Host, Path string
	// Key is the caller's API key; empty if there is none, or more than one.
	Key string
}

// Quota keeps tenants within their quotas.
type Quota interface {
	// Refused returns what a request of a tenant is told if it is known already that there
	// is no room, else the zero Result.
	Refused(tenant string) outcome.Result
	// Take counts a request of a tenant. The zero Result means that it may run.
	Take(ctx context.Context, r quota.Request) outcome.Result
	// Return gives back what a request took that no target ran.
	Return(tenant string)
}

// Finder finds where a request leads.
type Finder interface {
	// Find returns the zero Result if it does. Else that is what the caller is told, and of
	// the match the version of the configuration holds alone.
	Find(ctx context.Context, a Address) (Match, outcome.Result)
	// Deny returns what a caller is told whose request a version of the configuration does
	// not allow, for the reason given.
	Deny(ctx context.Context, version uint64, reason outcome.Reason) outcome.Result
}

// Server is the handler of the callers' listener.
type Server struct {
	deps   Deps
	memory *semaphore.Weighted
	bodies *bodyPace
	routes atomic.Pointer[routesOf]
	mux    *chi.Mux

	inFlight atomic.Int64
}

// routesOf is the router made from one configuration.
type routesOf struct {
	config *declare.Config
	router *router
}

// New returns a handler.
func New(deps Deps) *Server {
	if deps.Contract == nil {
		deps.Contract = targetapi.Default()
	}
	s := &Server{
		deps:   deps,
		memory: semaphore.NewWeighted(deps.BodyMemory),
		bodies: newBodyPace(deps.LinkBytesPerSecond, deps.WatchesStore),
	}
	s.mux = chi.NewRouter()
	s.mux.Get(PathReady, s.ready)
	s.mux.Post(PathKeys, s.issueKey)
	s.mux.NotFound(s.call)
	s.mux.MethodNotAllowed(s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ProxyHandler serves callers alone: every path leads to a target, none belongs to
// cactusproxy.
func (s *Server) ProxyHandler() http.Handler { return http.HandlerFunc(s.call) }

// find returns where a request leads, or what its caller is told.
func (s *Server) find(r *http.Request) (Match, outcome.Result) {
	if s.deps.Finder != nil {
		m, refusal := s.deps.Finder.Find(r.Context(), s.address(r))
		m.Path = r.URL.Path
		return m, refusal
	}
	m, ok := s.router().find(r.Host, r.URL.Path)
	if !ok {
		return m, outcome.Refuse(outcome.ReasonNoRoute)
	}
	return m, outcome.Result{}
}

// address returns what of a request says where it leads.
func (s *Server) address(r *http.Request) Address {
	a := Address{Host: r.Host, Path: r.URL.EscapedPath()}
	if name := s.deps.Contract.Key; name != "" {
		if keys := r.Header[name]; len(keys) == 1 {
			a.Key = keys[0]
		}
	}
	return a
}

// deny returns what a caller is told whose request the configuration that a match is from
// does not allow.
func (s *Server) deny(r *http.Request, m Match, reason outcome.Reason) outcome.Result {
	if s.deps.Finder == nil {
		return outcome.Refuse(reason)
	}
	return s.deps.Finder.Deny(r.Context(), m.ConfigVersion, reason)
}

// InFlight returns the number of calls that have not had their whole reply.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// router returns the router of the configuration in force. It is rebuilt by the
// first request after a change.
func (s *Server) router() *router {
	c := s.deps.Board.Config.Load()
	if have := s.routes.Load(); have != nil && have.config == c {
		return have.router
	}
	made := &routesOf{config: c, router: newRouter(c)}
	s.routes.Store(made)
	return made.router
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
	if !s.known(workspace, service) {
		s.refuse(w, new(calllog.Call), outcome.Refuse(outcome.ReasonNoRoute))
		return
	}
	key := s.deps.IssueKey(workspace, service, callerOf(r))
	if key == "" {
		s.refuse(w, new(calllog.Call), outcome.Refuse(outcome.ReasonNoKeys))
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, key+"\n")
}

func (s *Server) known(workspace, service string) bool {
	ws, ok := s.deps.Board.Config.Load().Workspace(workspace)
	if !ok {
		return false
	}
	_, ok = ws.Service(service)
	return ok
}

// Package slots chooses targets in coordination with the other entry hosts. For each service
// one host is the coordinator, which grants the slots of the targets to the attempts of all
// hosts. This package requests grants from it, acts as coordinator for the services assigned to
// this host, and falls back to a local choice while no coordinator responds.
//
// The decisions are made by pure state machines in policy/grant (coordinator), policy/session
// (entry host) and policy/localpick (local choice). This package holds the lock, timers, messages
// and metrics around them.
package slots

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between hosts.
const (
	kindFrame peer.Kind = peer.KindSlots + iota
	kindTell
	kindOverdue
)

// CoordinatorFunc returns the coordinator of a service, and false if there is none.
type CoordinatorFunc func(blackboard.ServiceKey, *blackboard.Members) (ports.HostID, bool)

// Deps are the dependencies of a Picker.
type Deps struct {
	Board       *blackboard.Board
	Link        peer.Link
	Coordinator CoordinatorFunc
	Metrics     *metrics.Set
	Log         *zap.Logger
	// Seed seeds the random choices among equal targets.
	Seed uint64
	// OnLeaving, if set, is called when a response shows that its target is leaving. It must
	// not block.
	OnLeaving func(blackboard.ServiceKey, ports.HostID)
}

// Picker is a pick.Picker that shares the slots of targets with other hosts through
// coordinators. It is safe for concurrent use.
type Picker struct {
	deps  Deps
	self  ports.HostID
	epoch uint64
	count counters

	mu       sync.Mutex // serializes the creation of services
	rng      *rand.Rand
	services atomic.Pointer[map[blackboard.ServiceKey]*service]
	closed   atomic.Bool
}

var _ pick.Picker = (*Picker)(nil)

// New returns a Picker and registers its message handlers with the link.
func New(d Deps) *Picker {
	s := &Picker{
		deps:  d,
		self:  d.Link.Self(),
		epoch: uint64(time.Now().UnixNano()),
		count: newCounters(d.Metrics),
		rng:   rand.New(rand.NewPCG(d.Seed, 1)),
	}
	d.Metrics.Func("slots_services", s.state)
	empty := make(map[blackboard.ServiceKey]*service)
	s.services.Store(&empty)
	peer.Handle(d.Link, kindFrame, s.onFrame)
	peer.Handle(d.Link, kindTell, s.onTell)
	peer.Handle(d.Link, kindOverdue, s.onOverdue)
	return s
}

// Close stops all timers. Picks in progress end with their contexts.
func (s *Picker) Close() {
	s.closed.Store(true)
	for _, svc := range *s.services.Load() {
		svc.stop()
	}
}

// service returns the state of a service, creating it on first use, or nil if the service is
// not declared.
func (s *Picker) service(key blackboard.ServiceKey) *service {
	if svc := (*s.services.Load())[key]; svc != nil {
		return svc
	}
	if !s.declared(key) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.services.Load()
	if svc := old[key]; svc != nil {
		return svc
	}
	svc := newService(s, key, s.rng.Uint64())
	next := maps.Clone(old)
	next[key] = svc
	s.services.Store(&next)
	return svc
}

func (s *Picker) declared(key blackboard.ServiceKey) bool {
	ws, ok := s.deps.Board.Config.Load().Workspace(key.Workspace)
	if !ok {
		return false
	}
	_, ok = ws.Service(key.Service)
	return ok
}

// Pick implements pick.Picker.
func (s *Picker) Pick(ctx context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	svc := s.service(req.Service)
	if svc == nil {
		return nil, s.refuse(outcome.ReasonNoRoute)
	}
	w := svc.startPick(ctx, req)
	select {
	case <-w.done:
	case <-ctx.Done():
		svc.cancel(w)
	}
	d := w.decision
	if d.Reason != "" {
		return nil, s.refuse(d.Reason)
	}
	if d.Local {
		s.count.local.Add(1)
	} else {
		s.count.coordinated.Add(1)
	}
	return &heldGrant{service: svc, id: d.ID, target: d.Target}, outcome.Result{}
}

func (s *Picker) refuse(r outcome.Reason) outcome.Result {
	s.count.refused.Add(string(r), 1)
	return outcome.Refuse(r)
}

// heldGrant is a grant that was handed to a caller.
type heldGrant struct {
	service  *service
	id       grant.AttemptID
	target   blackboard.Target
	released atomic.Bool
}

// Target implements pick.Grant.
func (h *heldGrant) Target() blackboard.Target { return h.target }

// Release implements pick.Grant. Releasing twice breaks an invariant.
func (h *heldGrant) Release(r pick.Report) {
	if h.released.Swap(true) {
		reportDoubleRelease(h.target.ID)
	}
	h.service.endAttempt(h.id, r)
	leaving := r.LeavingHint || r.Class == pick.Leaving
	if f := h.service.picker.deps.OnLeaving; leaving && f != nil {
		f(h.service.key, h.target.ID)
	}
}

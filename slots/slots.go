// Package slots chooses targets with the other entry hosts. For each service
// one host is coordinator and grants slots; this package asks it, is it when
// the choice falls on this host, and chooses alone while no coordinator
// answers. The decisions are in policy/grant, policy/session and
// policy/choice; here are only the lock, the timers and the messages.
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

// Messages between hosts.
const (
	kindFrame peer.Kind = peer.KindSlots + iota
	kindTell
	kindOverdue
)

// CoordinatorFunc returns the coordinator of a service; false means none.
type CoordinatorFunc func(blackboard.ServiceKey, *blackboard.Members) (ports.HostID, bool)

// Deps is what a Slots works with.
type Deps struct {
	Board       *blackboard.Board
	Link        peer.Link
	Coordinator CoordinatorFunc
	Metrics     *metrics.Set
	Log         *zap.Logger
	// Seed starts the random choices among equal targets.
	Seed uint64
	// OnLeaving, if set, is called when a target's own answer said that it is
	// leaving. It must not block.
	OnLeaving func(blackboard.ServiceKey, ports.HostID)
}

// Slots is the pick.Picker of one daemon.
type Slots struct {
	deps  Deps
	self  ports.HostID
	epoch uint64
	count counters

	mu       sync.Mutex // serialises the making of services
	rng      *rand.Rand
	services atomic.Pointer[map[blackboard.ServiceKey]*service]
	closed   atomic.Bool
}

var _ pick.Picker = (*Slots)(nil)

// New returns a picker and registers its messages with the link.
func New(d Deps) *Slots {
	s := &Slots{
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

// Close stops all timers. Waiting picks end with their contexts.
func (s *Slots) Close() {
	s.closed.Store(true)
	for _, svc := range *s.services.Load() {
		svc.stop()
	}
}

// service returns the state of a service, or nil if it is not declared.
func (s *Slots) service(key blackboard.ServiceKey) *service {
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

func (s *Slots) declared(key blackboard.ServiceKey) bool {
	ws, ok := s.deps.Board.Config.Load().Workspace(key.Workspace)
	if !ok {
		return false
	}
	_, ok = ws.Service(key.Service)
	return ok
}

// Pick waits for a target until ctx ends.
func (s *Slots) Pick(ctx context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	svc := s.service(req.Service)
	if svc == nil {
		return nil, s.refuse(outcome.ReasonNoRoute)
	}
	w := svc.ask(ctx, req)
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
	return &held{service: svc, id: d.ID, target: d.Target}, outcome.Result{}
}

func (s *Slots) refuse(r outcome.Reason) outcome.Result {
	s.count.refused.Add(string(r), 1)
	return outcome.Refuse(r)
}

// held is a grant in the caller's hands.
type held struct {
	service  *service
	id       grant.AttemptID
	target   blackboard.Target
	released atomic.Bool
}

// Target returns where the attempt goes.
func (h *held) Target() blackboard.Target { return h.target }

// Release ends the grant.
func (h *held) Release(r pick.Report) {
	if h.released.Swap(true) {
		brokenRelease(h.target.ID)
	}
	h.service.end(h.id, r)
	leaving := r.LeavingHint || r.Class == pick.Leaving
	if f := h.service.owner.deps.OnLeaving; leaving && f != nil {
		f(h.service.key, h.target.ID)
	}
}

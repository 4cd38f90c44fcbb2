// Package admission applies package policy/admission on every host: it decides on the first attempt
// of each call before a target is chosen, and lets hosts agree on the level of a service that is
// short of room.
//
// One host owns a service, by rendezvous hashing. While a host sees signs that the service is short
// of room, it reports its demand and results to the owner once in a period; the reply is the level.
// A host that can't reach the owner tries the next one with its next report and decides by its own
// observations until then. Nothing is sent while services have room.
package admission

import (
	"context"
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
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Deps are the dependencies of a Controller.
type Deps struct {
	// Picker is the wrapped picker.
	Picker pick.Picker
	Board  *blackboard.Board
	Link   peer.Link
	// ByPriority makes admission control act also on services of configurations without tenants, if
	// routes of different priorities lead to them.
	ByPriority bool
	Seed       uint64
	Metrics    *metrics.Set
	Log        *zap.Logger
}

// Controller is a pick.Picker that refuses calls beyond the share of their rank and tenant while
// their service is short of room. It is safe for concurrent use.
type Controller struct {
	deps  Deps
	self  ports.HostID
	count counters
	scope atomic.Pointer[scope]

	mu       sync.Mutex
	rng      *rand.Rand
	services map[blackboard.ServiceKey]*service
	views    map[blackboard.ServiceKey]*ownedView
	// unreachable are owners that didn't reply, with the end of their backoff.
	unreachable map[ports.HostID]time.Time
}

var _ pick.Picker = (*Controller)(nil)

// New returns a controller and registers its message handler with the link.
func New(d Deps) *Controller {
	c := &Controller{
		deps:        d,
		self:        d.Link.Self(),
		count:       newCounters(d.Metrics),
		rng:         rand.New(rand.NewPCG(d.Seed, 7)),
		services:    make(map[blackboard.ServiceKey]*service),
		views:       make(map[blackboard.ServiceKey]*ownedView),
		unreachable: make(map[ports.HostID]time.Time),
	}
	peer.Handle(d.Link, peer.KindAdmission+kindReport, c.onReport)
	return c
}

// Pick implements pick.Picker. It decides on first attempts only: a call whose first attempt was
// admitted keeps its right.
func (c *Controller) Pick(ctx context.Context, req pick.Request) (pick.Grant, outcome.Result) {
	if !c.currentScope().active(req.Service.Service) {
		return c.deps.Picker.Pick(ctx, req)
	}
	s := c.service(req.Service)
	if req.Hedge {
		if s.limited(time.Now()) {
			return nil, outcome.Refuse(outcome.ReasonOverload)
		}
		return c.deps.Picker.Pick(ctx, req)
	}
	d := policy.Decision{Admitted: true, Share: 1}
	if len(req.Avoid) == 0 {
		now := time.Now()
		d = s.decide(now, requestOf(now, req))
		if !d.Admitted {
			return c.pickBeyondShare(ctx, s, req, d)
		}
		req.Spare, req.LeaveSlot = d.Spare, d.LeaveSlot
	}
	g, refusal := c.deps.Picker.Pick(ctx, req)
	if g != nil {
		s.recordGrant(time.Now(), g)
		return &heldGrant{Grant: g, service: s, req: req}, outcome.Result{}
	}
	now := time.Now()
	if lacksRoom(refusal) {
		s.recordNoRoom(now, req)
	}
	if refusal.Reason != outcome.ReasonOverload && refusal.Reason != outcome.ReasonQueueTimeout || !s.limited(now) {
		return nil, refusal
	}
	c.count.refuse(req.Priority, noRoom)
	return nil, c.refusal(refusal, req, d)
}

// pickBeyondShare decides on a call beyond its share. It is sent on without waiting if a target that
// reports its load has room for it and keeps another slot free (see pick.Request.LeaveSlot), since the
// room that a level divides is an estimate that may be too low. A retry that came too late is refused
// in any case.
func (c *Controller) pickBeyondShare(ctx context.Context, s *service, req pick.Request, d policy.Decision) (pick.Grant, outcome.Result) {
	if d.Cause != policy.TooLate && s.loadReported() {
		req.Spare, req.LeaveSlot = true, true
		if g, _ := c.deps.Picker.Pick(ctx, req); g != nil {
			s.recordGrant(time.Now(), g)
			return &heldGrant{Grant: g, service: s, req: req}, outcome.Result{}
		}
	}
	c.count.refuse(req.Priority, d.Cause)
	return nil, c.refusal(outcome.Refuse(outcome.ReasonOverload), req, d)
}

// requestOf returns the request to decide on for an attempt.
func requestOf(now time.Time, req pick.Request) policy.Request {
	return policy.Request{Key: policy.NewKey(req.Priority, req.Tenant), Objective: req.Objective, Left: timeLeft(now, req)}
}

// timeLeft returns how much of the objective is left.
func timeLeft(now time.Time, req pick.Request) time.Duration {
	return req.Objective - now.Sub(req.Arrived)
}

// lacksRoom reports whether a refusal by the wrapped picker means that no target had room. One for
// lack of time doesn't: requests with a short objective are refused while slots are free, and if that
// counted, the limit would fall and leave more slots free.
func lacksRoom(r outcome.Result) bool {
	switch r.Reason {
	case outcome.ReasonOverload:
		return r.NoSlot
	case outcome.ReasonQueueTimeout, outcome.ReasonTargetLimit, outcome.ReasonShed, outcome.ReasonQueueFull:
		return true
	default:
		return false
	}
}

// refusal completes a refusal while the service is limited.
func (c *Controller) refusal(r outcome.Result, req pick.Request, d policy.Decision) outcome.Result {
	c.mu.Lock()
	r.RetryAfter = policy.RetryAfter(d.Share, c.rng.Float64())
	c.mu.Unlock()
	r.Admission = &outcome.Admission{Rank: req.Priority, Share: d.Share}
	return r
}

func (c *Controller) service(key blackboard.ServiceKey) *service {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[key]
	if s == nil {
		s = &service{key: key, usedAt: time.Now(), rng: rand.New(rand.NewPCG(c.rng.Uint64(), 8))}
		c.services[key] = s
	}
	return s
}

// heldGrant is a grant that records its result for the controller. It implements pick.Explainer.
type heldGrant struct {
	pick.Grant
	service *service
	req     pick.Request
}

// Basis implements pick.Explainer.
func (h *heldGrant) Basis() pick.Basis { return basisOf(h.Grant) }

func basisOf(g pick.Grant) pick.Basis {
	if e, ok := g.(pick.Explainer); ok {
		return e.Basis()
	}
	return pick.Basis{}
}

// Release implements pick.Grant.
func (h *heldGrant) Release(r pick.Report) {
	h.service.recordEnd(time.Now(), h.req, r, basisOf(h.Grant).LoadUnreported)
	h.Grant.Release(r)
}

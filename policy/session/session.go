// Package session implements the entry host's side of choosing targets for one service as a pure
// state machine. It requests slots from the coordinator, tracks this host's attempts in flight,
// and chooses targets locally while the coordinator does not respond.
//
// Inputs are method calls with the current time; the resulting decisions and messages are
// collected with TakeOutput.
package session

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/policy/localpick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Timing of the protocol.
const (
	// TickInterval is how often Tick should run while a request is waiting.
	TickInterval = time.Millisecond
	// replyTimeout is how long a request may wait without a message from the coordinator before
	// the host chooses targets locally.
	replyTimeout = 4 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff between tries to reach an
	// unresponsive coordinator.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
)

// Decision is the result of a request.
type Decision struct {
	ID grant.AttemptID
	// Target is the target of the attempt, if Reason is empty.
	Target blackboard.Target
	Reason outcome.Reason
	// Local is set if this host chose the target itself.
	Local bool
}

// pending is a request that waits for a decision.
type pending struct {
	id       grant.AttemptID
	req      pick.Request
	since    time.Time
	deadline time.Time // zero if none
	avoid    []ports.HostID
}

// attempt is an attempt in flight.
type attempt struct {
	target    ports.HostID
	since     time.Time
	exclusive bool
	notified  bool // other hosts were notified that it is overdue
}

// Session chooses targets of one service on behalf of one host. It is not safe for concurrent
// use.
type Session struct {
	key      blackboard.ServiceKey
	zone     string
	epoch    uint64
	seq      uint64
	nextID   grant.AttemptID
	maxQueue int
	picker   *localpick.Picker

	waiting  []pending // oldest first
	inFlight map[grant.AttemptID]attempt

	coordinator  ports.HostID // empty if there is none
	unresponsive bool         // the coordinator does not respond; choose locally
	lastHeard    time.Time
	lastFull     time.Time
	retryAt      time.Time
	retryDelay   time.Duration

	frame          grant.Frame // content of the next message to the coordinator
	sendDue        bool        // frame is due now
	decisions      []Decision
	overdueTargets []ports.HostID
}

// New returns a session without targets or a coordinator. The epoch must be greater than that of
// an earlier run on the same host.
func New(key blackboard.ServiceKey, epoch uint64, rng *rand.Rand) *Session {
	return &Session{
		key:      key,
		epoch:    epoch,
		picker:   localpick.New(rng),
		inFlight: make(map[grant.AttemptID]attempt),
	}
}

// Configure applies the declaration of the service.
func (s *Session) Configure(svc *declare.Service) {
	s.maxQueue = svc.MaxQueue
	s.picker.Configure(svc.Slots, svc.ColdStart)
}

// SetZone sets the availability zone of this host.
func (s *Session) SetZone(zone string) {
	s.zone = zone
	s.picker.SetZone(zone)
}

// SetTargets replaces the list of targets.
func (s *Session) SetTargets(now time.Time, list []blackboard.Target) {
	s.picker.SetTargets(list)
	if s.picker.Usable() == 0 {
		s.refuseAll(outcome.ReasonNoTarget)
	}
	s.serve(now)
}

// SetCoordinator sets the host to request slots from; ok is false if there is none.
func (s *Session) SetCoordinator(now time.Time, id ports.HostID, ok bool) {
	if !ok {
		id = ""
	}
	if id == s.coordinator {
		return
	}
	s.coordinator = id
	s.unresponsive = id == ""
	s.lastHeard = now
	s.retryDelay = minRetryDelay
	if id != "" {
		s.fullFrame(now)
	}
	s.serve(now)
}

// Coordinated reports whether a coordinator currently makes the decisions.
func (s *Session) Coordinated() bool { return !s.unresponsive && s.coordinator != "" }

// NextID returns the ID that the next request will have.
func (s *Session) NextID() grant.AttemptID { return s.nextID + 1 }

// Submit submits a request for a target. TakeOutput returns the decision, now or later; a zero
// deadline means none.
func (s *Session) Submit(now time.Time, req pick.Request, deadline time.Time) grant.AttemptID {
	s.nextID++
	id := s.nextID
	a := pending{id: id, req: req, since: now, deadline: deadline, avoid: req.Avoid}
	switch {
	case s.picker.Usable() == 0:
		s.refuse(id, outcome.ReasonNoTarget)
	case !deadline.IsZero() && !now.Before(deadline):
		s.refuse(id, outcome.ReasonDeadline)
	case len(s.waiting) >= s.maxQueue && s.maxQueue > 0:
		s.refuse(id, outcome.ReasonQueueFull)
	case !s.Coordinated():
		s.requestLocally(now, &a)
	default:
		s.waiting = append(s.waiting, a)
		s.forward(now, &a)
	}
	return id
}

// forward requests a slot from the coordinator.
func (s *Session) forward(now time.Time, a *pending) {
	if len(s.waiting) == 1 {
		// The coordinator had no reason to send anything until now.
		s.lastHeard = now
	}
	s.frame.Requests = append(s.frame.Requests, a.message(now))
	s.sendDue = true
}

func (a *pending) message(now time.Time) grant.Request {
	m := grant.Request{ID: a.id, Avoid: a.avoid, Hedge: a.req.Hedge, Exclusive: a.req.Exclusive}
	if !a.deadline.IsZero() {
		m.Remaining = max(a.deadline.Sub(now), 1)
	}
	return m
}

func (s *Session) refuse(id grant.AttemptID, r outcome.Reason) {
	s.decisions = append(s.decisions, Decision{ID: id, Reason: r})
}

func (s *Session) refuseAll(r outcome.Reason) {
	for _, a := range s.waiting {
		s.refuse(a.id, r)
	}
	s.waiting = s.waiting[:0]
}

// Cancel withdraws a request that is not decided yet, or returns a grant that the caller no
// longer wants.
func (s *Session) Cancel(now time.Time, id grant.AttemptID) {
	if i := s.find(id); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.returnSlot(id)
		return
	}
	if a, ok := s.inFlight[id]; ok {
		delete(s.inFlight, id)
		s.picker.End(now, a.target, a.exclusive, true, pick.Report{})
		s.returnSlot(id)
		s.serve(now)
	}
}

func (s *Session) find(id grant.AttemptID) int {
	return slices.IndexFunc(s.waiting, func(a pending) bool { return a.id == id })
}

// returnSlot tells the coordinator that a request or a grant is no longer wanted.
func (s *Session) returnSlot(id grant.AttemptID) {
	s.sendCompletion(grant.Completion{ID: id, Class: grant.Unused, Load: -1})
}

func (s *Session) sendCompletion(e grant.Completion) {
	if !s.Coordinated() {
		return
	}
	s.frame.Completions = append(s.frame.Completions, e)
	s.sendDue = true
}

// End records the report of an attempt.
func (s *Session) End(now time.Time, id grant.AttemptID, r pick.Report) {
	a, ok := s.inFlight[id]
	if !ok {
		return
	}
	delete(s.inFlight, id)
	s.picker.End(now, a.target, a.exclusive, false, r)
	s.sendCompletion(grant.Completion{
		ID:      id,
		Class:   r.Class,
		Latency: r.Latency,
		Load:    r.Load,
		Leaving: r.LeavingHint,
	})
	s.serve(now)
}

// HandleReply processes a reply from a coordinator.
func (s *Session) HandleReply(now time.Time, from ports.HostID, t grant.Reply) {
	if t.Epoch != s.epoch || from != s.coordinator {
		return // for an earlier run, or from a former coordinator
	}
	if t.Decline {
		s.fallBack(now)
		return
	}
	s.markResponsive(now)
	for _, g := range t.Grants {
		s.handleGrant(now, g)
	}
	for _, r := range t.Refusals {
		if i := s.find(r.ID); i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			s.refuse(r.ID, r.Reason)
		}
	}
	if t.Resync {
		s.fullFrame(now)
	}
}

// markResponsive records that the coordinator responds.
func (s *Session) markResponsive(now time.Time) {
	s.lastHeard = now
	if !s.unresponsive {
		return
	}
	s.unresponsive = false
	s.retryDelay = minRetryDelay
	// The coordinator does not know the attempts that were placed locally in the meantime.
	s.fullFrame(now)
}

// handleGrant accepts a slot. If the request is gone, or this host knows that the target can not
// be used, it returns the slot immediately.
func (s *Session) handleGrant(now time.Time, g grant.Grant) {
	i := s.find(g.ID)
	if i < 0 {
		s.returnSlot(g.ID)
		return
	}
	a := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	t, ok := s.picker.Find(g.Target)
	if ok {
		s.start(now, &a, t, false)
		return
	}
	s.requestAgain(now, a, g.Target)
}

// requestAgain repeats a request whose grant named a target that this host does not know or knows
// to be leaving; target lists of two hosts may differ. The grant is returned in the same frame,
// ahead of the request.
func (s *Session) requestAgain(now time.Time, a pending, unusable ports.HostID) {
	s.returnSlot(a.id)
	if slices.Contains(a.avoid, unusable) {
		// The coordinator knows no other target, and repeating the request would loop until the
		// deadline. This host has better information and chooses locally for a while.
		s.waiting = append(s.waiting, a)
		s.fallBack(now)
		return
	}
	a.avoid = append(slices.Clone(a.avoid), unusable)
	s.waiting = append(s.waiting, a)
	if s.Coordinated() {
		s.forward(now, &a)
	}
	s.serve(now)
}

func (s *Session) start(now time.Time, a *pending, t blackboard.Target, local bool) {
	s.inFlight[a.id] = attempt{target: t.ID, since: now, exclusive: a.req.Exclusive}
	s.picker.Start(t.ID, a.req.Exclusive)
	s.decisions = append(s.decisions, Decision{ID: a.id, Target: t, Local: local})
}

// serve chooses targets locally for the waiting requests, unless a coordinator does.
func (s *Session) serve(now time.Time) {
	if s.Coordinated() || len(s.waiting) == 0 {
		return
	}
	kept := s.waiting[:0]
	for _, a := range s.waiting {
		if !s.serveOne(now, &a) {
			kept = append(kept, a)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

func (s *Session) serveOne(now time.Time, a *pending) bool {
	if !a.deadline.IsZero() && now.Add(s.picker.Latency().Median()).After(a.deadline) {
		s.refuse(a.id, outcome.ReasonDeadline)
		return true
	}
	t, ok := s.picker.Pick(now, a.avoid, a.req.Hedge, a.req.Exclusive)
	if ok {
		s.start(now, a, t, true)
		return true
	}
	if a.req.Hedge {
		s.refuse(a.id, outcome.ReasonQueueFull)
		return true
	}
	return false
}

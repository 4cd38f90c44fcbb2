// Package session is the entry host's side of choosing targets for one service,
// as a pure state machine: it asks the coordinator for slots, keeps its own
// attempts, and chooses by itself while the coordinator does not answer.
package session

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/localpick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Times of the protocol.
const (
	// TickInterval is how often Tick should run while an ask waits.
	TickInterval = time.Millisecond
	// patience is how long an ask may hear nothing from the coordinator before
	// the host chooses by itself.
	patience = 4 * time.Millisecond
	// firstRetry and maxRetry bound the time until a silent coordinator is
	// tried again.
	firstRetry = 20 * time.Millisecond
	maxRetry   = 320 * time.Millisecond
)

// Decision settles an ask.
type Decision struct {
	ID grant.AttemptID
	// Target is where the attempt goes, if Reason is empty.
	Target blackboard.Target
	Reason outcome.Reason
	// Local is set if this host chose by itself.
	Local bool
}

// ask is an ask that waits.
type ask struct {
	id       grant.AttemptID
	req      pick.Request
	since    time.Time
	deadline time.Time // zero means none
	avoid    []ports.HostID
}

// attempt is an attempt in flight.
type attempt struct {
	target  ports.HostID
	since   time.Time
	alone   bool
	noticed bool // its being overdue was told to all
}

// Session is one host's part in choosing targets of one service. It is not safe
// for concurrent use.
type Session struct {
	key      blackboard.ServiceKey
	zone     string
	epoch    uint64
	seq      uint64
	nextID   grant.AttemptID
	maxQueue int
	local    *localpick.Local

	waiting []ask // oldest first
	open    map[grant.AttemptID]attempt

	coordinator ports.HostID // empty if there is none
	silent      bool         // it does not answer: choose here
	heard       time.Time
	lastFull    time.Time
	retryAt     time.Time
	retry       time.Duration

	frame     grant.Frame // what the coordinator has yet to be told
	send      bool        // frame is due now
	decisions []Decision
	overdue   []ports.HostID
}

// New returns a session without targets or coordinator. The epoch must be
// greater than that of an earlier run on the same host.
func New(key blackboard.ServiceKey, epoch uint64, rng *rand.Rand) *Session {
	return &Session{
		key:   key,
		epoch: epoch,
		local: localpick.New(rng),
		open:  make(map[grant.AttemptID]attempt),
	}
}

// Configure takes the declaration of the service.
func (s *Session) Configure(svc *declare.Service) {
	s.maxQueue = svc.MaxQueue
	s.local.Configure(svc.Slots, svc.ColdStart)
}

// SetZone sets the availability zone of this host.
func (s *Session) SetZone(zone string) {
	s.zone = zone
	s.local.SetZone(zone)
}

// SetTargets takes the view of the targets.
func (s *Session) SetTargets(now time.Time, list []blackboard.Target) {
	s.local.SetTargets(list)
	if s.local.Usable() == 0 {
		s.refuseAll(outcome.ReasonNoTarget)
	}
	s.serve(now)
}

// SetCoordinator names the host to ask; ok is false if there is none.
func (s *Session) SetCoordinator(now time.Time, id ports.HostID, ok bool) {
	if !ok {
		id = ""
	}
	if id == s.coordinator {
		return
	}
	s.coordinator = id
	s.silent = id == ""
	s.heard = now
	s.retry = firstRetry
	if id != "" {
		s.fullFrame(now)
	}
	s.serve(now)
}

// Coordinated reports whether a coordinator decides at present.
func (s *Session) Coordinated() bool { return !s.silent && s.coordinator != "" }

// NextID returns the identity that the next Ask will have.
func (s *Session) NextID() grant.AttemptID { return s.nextID + 1 }

// Request takes a request for a target. Its decision comes from Take, now or later.
func (s *Session) Request(now time.Time, req pick.Request, deadline time.Time) grant.AttemptID {
	s.nextID++
	id := s.nextID
	a := ask{id: id, req: req, since: now, deadline: deadline, avoid: req.Avoid}
	switch {
	case s.local.Usable() == 0:
		s.refuse(id, outcome.ReasonNoTarget)
	case !deadline.IsZero() && !now.Before(deadline):
		s.refuse(id, outcome.ReasonDeadline)
	case len(s.waiting) >= s.maxQueue && s.maxQueue > 0:
		s.refuse(id, outcome.ReasonQueueFull)
	case !s.Coordinated():
		s.askLocally(now, &a)
	default:
		s.waiting = append(s.waiting, a)
		s.forward(now, &a)
	}
	return id
}

// forward asks the coordinator for a slot.
func (s *Session) forward(now time.Time, a *ask) {
	if len(s.waiting) == 1 {
		// Nothing was due from the coordinator until now.
		s.heard = now
	}
	s.frame.Requests = append(s.frame.Requests, a.message(now))
	s.send = true
}

func (a *ask) message(now time.Time) grant.Request {
	m := grant.Request{ID: a.id, Avoid: a.avoid, Hedge: a.req.Hedge, Exclusive: a.req.Alone}
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

// Cancel withdraws an ask that was not decided yet, or gives back a grant that
// the caller no longer wants.
func (s *Session) Cancel(now time.Time, id grant.AttemptID) {
	if i := s.find(id); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.giveBack(id)
		return
	}
	if a, ok := s.open[id]; ok {
		delete(s.open, id)
		s.local.End(now, a.target, a.alone, true, pick.Report{})
		s.giveBack(id)
		s.serve(now)
	}
}

func (s *Session) find(id grant.AttemptID) int {
	return slices.IndexFunc(s.waiting, func(a ask) bool { return a.id == id })
}

// giveBack tells the coordinator that an ask or a grant is not wanted.
func (s *Session) giveBack(id grant.AttemptID) {
	s.tellEnd(grant.Completion{ID: id, Class: grant.Unused, Load: -1})
}

func (s *Session) tellEnd(e grant.Completion) {
	if !s.Coordinated() {
		return
	}
	s.frame.Completions = append(s.frame.Completions, e)
	s.send = true
}

// End takes the report of an attempt.
func (s *Session) End(now time.Time, id grant.AttemptID, r pick.Report) {
	a, ok := s.open[id]
	if !ok {
		return
	}
	delete(s.open, id)
	s.local.End(now, a.target, a.alone, false, r)
	s.tellEnd(grant.Completion{
		ID:      id,
		Class:   r.Class,
		Latency: r.Latency,
		Load:    r.Load,
		Leaving: r.LeavingHint,
	})
	s.serve(now)
}

// HandleReply takes a message of a coordinator.
func (s *Session) HandleReply(now time.Time, from ports.HostID, t grant.Reply) {
	if t.Epoch != s.epoch || from != s.coordinator {
		return // meant for an earlier run, or from a host that was coordinator
	}
	if t.Decline {
		s.fallBack(now)
		return
	}
	s.contact(now)
	for _, g := range t.Grants {
		s.granted(now, g)
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

// contact notes that the coordinator answers.
func (s *Session) contact(now time.Time) {
	s.heard = now
	if !s.silent {
		return
	}
	s.silent = false
	s.retry = firstRetry
	// What was chosen here in the meantime is in flight and not in its books.
	s.fullFrame(now)
}

// granted takes a slot. If the ask is gone, or this host knows better about the
// target, the slot goes back at once.
func (s *Session) granted(now time.Time, g grant.Grant) {
	i := s.find(g.ID)
	if i < 0 {
		s.giveBack(g.ID)
		return
	}
	a := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	t, ok := s.local.Find(g.Target)
	if ok {
		s.start(now, &a, t, false)
		return
	}
	s.askAgain(now, a, g.Target)
}

// askAgain repeats an ask whose grant named a target that this host knows to be
// leaving, or does not know: the host lists of two hosts may differ. The grant
// goes back in the same frame, before the ask.
func (s *Session) askAgain(now time.Time, a ask, not ports.HostID) {
	s.giveBack(a.id)
	if slices.Contains(a.avoid, not) {
		// The coordinator knows no other target. Asking on would go round until
		// the deadline; this host knows better and chooses alone for a while.
		s.waiting = append(s.waiting, a)
		s.fallBack(now)
		return
	}
	a.avoid = append(slices.Clone(a.avoid), not)
	s.waiting = append(s.waiting, a)
	if s.Coordinated() {
		s.forward(now, &a)
	}
	s.serve(now)
}

func (s *Session) start(now time.Time, a *ask, t blackboard.Target, local bool) {
	s.open[a.id] = attempt{target: t.ID, since: now, alone: a.req.Alone}
	s.local.Start(t.ID, a.req.Alone)
	s.decisions = append(s.decisions, Decision{ID: a.id, Target: t, Local: local})
}

// serve chooses here for the asks that wait, if no coordinator does.
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

func (s *Session) serveOne(now time.Time, a *ask) bool {
	if !a.deadline.IsZero() && now.Add(s.local.Latency().Median()).After(a.deadline) {
		s.refuse(a.id, outcome.ReasonDeadline)
		return true
	}
	t, ok := s.local.Pick(now, a.avoid, a.req.Hedge, a.req.Alone)
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

package slots

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/policy/session"
	"github.com/cactusproxy/cactusproxy/ports"
)

// leavingGrace is how long after the first sign of leaving a target may still
// be handed out.
const leavingGrace = 2 * time.Second

// service is one service on this host: its session, and the coordinator that it keeps
// when it is coordinator. The lock is held for computing only, never while a
// message is sent.
type service struct {
	owner *Slots
	key   blackboard.ServiceKey

	mu          sync.Mutex
	session     *session.Session
	coordinator *grant.Coordinator
	waiters     map[grant.AttemptID]*waiter
	seen        versions
	timer       *time.Timer
	due         time.Time
	stopped     bool
	fallback    bool // as last logged
}

// versions are those of the blackboard's sections that were taken in.
type versions struct {
	config, members, targets uint64
	any                      bool
}

// waiter is a Pick that waits. done is closed when decision is set.
type waiter struct {
	id       grant.AttemptID
	ctx      context.Context
	done     chan struct{}
	decision session.Decision
}

func newService(s *Slots, key blackboard.ServiceKey, seed uint64) *service {
	return &service{
		owner:       s,
		key:         key,
		session:     session.New(key, s.epoch, rand.New(rand.NewPCG(seed, 2))),
		coordinator: grant.NewCoordinator(key, rand.New(rand.NewPCG(seed, 3))),
		waiters:     make(map[grant.AttemptID]*waiter),
	}
}

// do runs one event under the lock, settles what follows from it on this host,
// and sends the messages afterwards.
func (v *service) do(event func(now time.Time)) {
	v.mu.Lock()
	now := time.Now()
	v.refresh(now)
	event(now)
	out := v.settle(now)
	v.arm(now)
	v.mu.Unlock()
	v.owner.send(out)
}

// refresh takes in what changed on the blackboard.
func (v *service) refresh(now time.Time) {
	board := v.owner.deps.Board
	next := versions{board.Config.Version(), board.Members.Version(), board.Targets.Version(), true}
	if next == v.seen {
		return
	}
	first := !v.seen.any
	if first || next.config != v.seen.config {
		v.configure()
	}
	if first || next.targets != v.seen.targets {
		list := board.Targets.Load().ByService[v.key]
		v.session.SetTargets(now, list)
		v.coordinator.SetTargets(now, list)
	}
	if first || next.members != v.seen.members {
		v.setMembers(now, board.Members.Load())
	}
	v.seen = next
}

func (v *service) configure() {
	ws, ok := v.owner.deps.Board.Config.Load().Workspace(v.key.Workspace)
	if !ok {
		return
	}
	if svc, ok := ws.Service(v.key.Service); ok {
		v.session.Configure(svc)
		v.coordinator.Configure(svc)
	}
}

func (v *service) setMembers(now time.Time, m *blackboard.Members) {
	if self, found := m.Find(v.owner.self); found {
		v.session.SetZone(self.Host.Zone)
	}
	id, ok := v.owner.deps.Coordinator(v.key, m)
	v.session.SetCoordinator(now, id, ok)
	for _, h := range v.coordinator.Hosts() {
		if _, found := m.Find(h); !found {
			v.coordinator.DropHost(now, h)
		}
	}
}

// settle passes messages between the session and the coordinator of this host until
// nothing is left, and returns those for other hosts.
func (v *service) settle(now time.Time) outbox {
	var out outbox
	for {
		o := v.session.TakeOutput()
		v.decide(now, o.Decisions)
		out.overdue = append(out.overdue, o.Overdue...)
		if o.To == v.owner.self {
			v.coordinator.Receive(now, o.To, o.Frame)
		} else if o.To != "" {
			out.frames = append(out.frames, frameTo{o.To, o.Frame})
		}
		own := false
		v.coordinator.Flush(now, func(to ports.HostID, t grant.Reply) {
			t.Grants = slices.Clone(t.Grants)
			t.Refusals = slices.Clone(t.Refusals)
			if to == v.owner.self {
				own = true
				v.session.HandleReply(now, to, t)
				return
			}
			out.tells = append(out.tells, tellTo{to, t})
		})
		if !own && o.To != v.owner.self {
			break
		}
	}
	v.note(out.overdue)
	if len(out.overdue) > 0 {
		out.key = v.key
	}
	return out
}

func (v *service) decide(now time.Time, list []session.Decision) {
	for _, d := range list {
		w := v.waiters[d.ID]
		if w == nil {
			continue // canceled in the same event
		}
		if d.Reason == "" {
			v.checkLeaving(now, d.Target.ID)
		}
		w.decision = d
		close(w.done)
		delete(v.waiters, d.ID)
	}
}

// checkLeaving asserts that a target which has been leaving for a while is not
// handed out.
func (v *service) checkLeaving(now time.Time, id ports.HostID) {
	list := v.owner.deps.Board.Targets.Load().ByService[v.key]
	i, found := slices.BinarySearchFunc(list, id, func(t blackboard.Target, id ports.HostID) int {
		return cmp.Compare(t.ID, id)
	})
	if !found || !list[i].Leaving {
		return
	}
	since := now.Sub(list[i].LeavingSince)
	invariant.Check(since <= leavingGrace, invariant.LeavingIdle, "%s of %s, leaving for %s", id, v.key, since)
}

func brokenRelease(id ports.HostID) {
	invariant.Broken(invariant.SlotAccount, "grant of "+string(id)+" released twice")
}

// ask starts a pick.
func (v *service) ask(ctx context.Context, req pick.Request) *waiter {
	deadline, _ := ctx.Deadline()
	w := &waiter{ctx: ctx, done: make(chan struct{})}
	v.do(func(now time.Time) {
		w.id = v.session.NextID()
		v.waiters[w.id] = w
		v.session.Submit(now, req, deadline)
	})
	return w
}

// cancel ends a pick whose context ended, unless it was decided just before.
func (v *service) cancel(w *waiter) {
	v.do(func(now time.Time) {
		select {
		case <-w.done:
			if w.decision.Reason == "" {
				v.session.Cancel(now, w.id)
			}
		default:
			v.session.Cancel(now, w.id)
			delete(v.waiters, w.id)
		}
	})
	reason := outcome.ReasonCallerGone
	if errors.Is(w.ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.ReasonQueueTimeout
	}
	w.decision = session.Decision{ID: w.id, Reason: reason}
}

func (v *service) end(id grant.AttemptID, r pick.Report) {
	v.do(func(now time.Time) { v.session.End(now, id, r) })
}

func (v *service) tick() {
	v.do(func(now time.Time) {
		v.due = time.Time{}
		v.session.Tick(now)
		v.coordinator.Tick(now)
	})
}

// arm sets the timer for the next tick.
func (v *service) arm(now time.Time) {
	next := v.coordinator.Next()
	if n := v.session.Next(); n > 0 && (next == 0 || n < next) {
		next = n
	}
	if next == 0 || v.stopped {
		return
	}
	at := now.Add(next)
	if !v.due.IsZero() && !at.Before(v.due) {
		return
	}
	v.due = at
	if v.timer == nil {
		v.timer = time.AfterFunc(next, v.tick)
		return
	}
	v.timer.Reset(next)
}

func (v *service) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = true
	if v.timer != nil {
		v.timer.Stop()
	}
}

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

// leavingGrace is how long a target may still be granted after it became known to be leaving.
const leavingGrace = 2 * time.Second

// service is the state of one service on this host: the session, which is the entry host's side
// of the protocol, and the coordinator state, which is used while this host is the coordinator.
// The lock is held only for computation, never while a message is sent.
type service struct {
	picker *Picker
	key    blackboard.ServiceKey

	mu          sync.Mutex
	session     *session.Session
	coordinator *grant.Coordinator
	waiters     map[grant.AttemptID]*waiter
	applied     versions
	timer       *time.Timer
	due         time.Time
	stopped     bool
	fallback    bool // whether this host chose on its own, as last logged
}

// versions are the versions of the blackboard sections at the last refresh.
type versions struct {
	config, members, targets uint64
	set                      bool
}

// waiter is a Pick in progress. done is closed once decision is set.
type waiter struct {
	id       grant.AttemptID
	ctx      context.Context
	done     chan struct{}
	decision session.Decision
}

func newService(s *Picker, key blackboard.ServiceKey, seed uint64) *service {
	return &service{
		picker:      s,
		key:         key,
		session:     session.New(key, s.epoch, rand.New(rand.NewPCG(seed, 2))),
		coordinator: grant.NewCoordinator(key, rand.New(rand.NewPCG(seed, 3))),
		waiters:     make(map[grant.AttemptID]*waiter),
	}
}

// process runs one event under the lock, exchanges the resulting messages within this host, and
// sends those for other hosts after releasing the lock.
func (v *service) process(event func(now time.Time)) {
	v.mu.Lock()
	now := time.Now()
	v.refresh(now)
	event(now)
	out := v.deliverLocal(now)
	v.armTimer(now)
	v.mu.Unlock()
	v.picker.send(out)
}

// refresh applies changes on the blackboard to the session and the coordinator.
func (v *service) refresh(now time.Time) {
	board := v.picker.deps.Board
	next := versions{board.Config.Version(), board.Members.Version(), board.Targets.Version(), true}
	if next == v.applied {
		return
	}
	first := !v.applied.set
	if first || next.config != v.applied.config {
		v.configure()
	}
	if first || next.targets != v.applied.targets {
		list := board.Targets.Load().ByService[v.key]
		v.session.SetTargets(now, list)
		v.coordinator.SetTargets(now, list)
	}
	if first || next.members != v.applied.members {
		v.setMembers(now, board.Members.Load())
	}
	v.applied = next
}

func (v *service) configure() {
	ws, ok := v.picker.deps.Board.Config.Load().Workspace(v.key.Workspace)
	if !ok {
		return
	}
	if svc, ok := ws.Service(v.key.Service); ok {
		v.session.Configure(svc)
		v.coordinator.Configure(svc)
	}
}

func (v *service) setMembers(now time.Time, m *blackboard.Members) {
	if self, found := m.Find(v.picker.self); found {
		v.session.SetZone(self.Host.Zone)
	}
	id, ok := v.picker.deps.Coordinator(v.key, m)
	v.session.SetCoordinator(now, id, ok)
	for _, h := range v.coordinator.Hosts() {
		if _, found := m.Find(h); !found {
			v.coordinator.DropHost(now, h)
		}
	}
}

// deliverLocal passes messages between this host's session and coordinator until none is left,
// and returns those for other hosts.
func (v *service) deliverLocal(now time.Time) outbox {
	var out outbox
	for {
		o := v.session.TakeOutput()
		v.decide(now, o.Decisions)
		out.overdue = append(out.overdue, o.Overdue...)
		if o.To == v.picker.self {
			v.coordinator.Receive(now, o.To, o.Frame)
		} else if o.To != "" {
			out.frames = append(out.frames, outgoingFrame{o.To, o.Frame})
		}
		sentToSelf := false
		v.coordinator.Flush(now, func(to ports.HostID, t grant.Reply) {
			t.Grants = slices.Clone(t.Grants)
			t.Refusals = slices.Clone(t.Refusals)
			if to == v.picker.self {
				sentToSelf = true
				v.session.HandleReply(now, to, t)
				return
			}
			out.replies = append(out.replies, outgoingReply{to, t})
		})
		if !sentToSelf && o.To != v.picker.self {
			break
		}
	}
	v.recordChanges(out.overdue)
	if len(out.overdue) > 0 {
		out.key = v.key
	}
	return out
}

func (v *service) decide(now time.Time, list []session.Decision) {
	for _, d := range list {
		w := v.waiters[d.ID]
		if w == nil {
			continue // canceled by the same event
		}
		if d.Reason == "" {
			v.checkLeaving(now, d.Target.ID)
		}
		w.decision = d
		close(w.done)
		delete(v.waiters, d.ID)
	}
}

// checkLeaving asserts that a target that has been leaving for longer than leavingGrace is not
// granted.
func (v *service) checkLeaving(now time.Time, id ports.HostID) {
	list := v.picker.deps.Board.Targets.Load().ByService[v.key]
	i, found := slices.BinarySearchFunc(list, id, func(t blackboard.Target, id ports.HostID) int {
		return cmp.Compare(t.ID, id)
	})
	if !found || !list[i].Leaving {
		return
	}
	since := now.Sub(list[i].LeavingSince)
	invariant.Check(since <= leavingGrace, invariant.LeavingIdle, "%s of %s, leaving for %s", id, v.key, since)
}

func reportDoubleRelease(id ports.HostID) {
	invariant.Broken(invariant.SlotAccount, "grant of "+string(id)+" released twice")
}

// startPick passes a pick to the session and returns its waiter.
func (v *service) startPick(ctx context.Context, req pick.Request) *waiter {
	deadline, _ := ctx.Deadline()
	w := &waiter{ctx: ctx, done: make(chan struct{})}
	v.process(func(now time.Time) {
		w.id = v.session.NextID()
		v.waiters[w.id] = w
		v.session.Submit(now, req, deadline)
	})
	return w
}

// cancel withdraws a pick whose context ended. A grant that was decided meanwhile is given
// back.
func (v *service) cancel(w *waiter) {
	v.process(func(now time.Time) {
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

func (v *service) endAttempt(id grant.AttemptID, r pick.Report) {
	v.process(func(now time.Time) { v.session.End(now, id, r) })
}

func (v *service) tick() {
	v.process(func(now time.Time) {
		v.due = time.Time{}
		v.session.Tick(now)
		v.coordinator.Tick(now)
	})
}

// armTimer schedules the next tick.
func (v *service) armTimer(now time.Time) {
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

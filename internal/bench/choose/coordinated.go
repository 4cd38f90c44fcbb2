package choose

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/policy/session"
	"github.com/cactusproxy/cactusproxy/ports"
)

var benchService = blackboard.ServiceKey{Workspace: "bench", Service: "bench"}

// coordinated runs a daemon's grant sessions and coordinator state on every
// simulated host.
type coordinated struct {
	sim   *simulation
	hosts []*simHost
	ids   map[ports.HostID]int
	// coordinator returns the index of the host that the given host regards as
	// the coordinator; a negative index means none.
	coordinator   func(host int) int
	listed        []blackboard.Target
	placedLocally int // calls placed without a coordinator
	messages      int // messages sent between hosts
}

func zoneName(i int) string { return string(rune('a' + i)) }

// simHost is a simulated entry host.
type simHost struct {
	strategy    *coordinated
	index       int
	id          ports.HostID
	session     *session.Session
	coordinator *grant.Coordinator
	calls       map[grant.AttemptID]*simCall
	nextTick    time.Duration // time of the next scheduled tick; 0 means none
	service     *declare.Service
	// partitioned hosts exchange no messages with other hosts.
	partitioned bool
	// dead hosts do not respond; paused hosts respond once the pause ends.
	dead        bool
	pausedUntil time.Duration
}

func (w *coordinated) attach(sim *simulation) {
	w.sim = sim
	w.ids = make(map[ports.HostID]int)
	svc := declare.Service{Slots: sim.c.Slots, MaxQueue: sim.c.MaxQueue, ColdStart: sim.c.ColdStart}
	for _, t := range sim.targets {
		w.listed = append(w.listed, blackboard.Target{ID: t.id, Zone: zoneName(t.zone)})
	}
	for i := range sim.c.Hosts {
		h := &simHost{
			strategy: w,
			index:    i,
			id:       ports.HostID(fmt.Sprintf("h%02d", i)),
			calls:    make(map[grant.AttemptID]*simCall),
		}
		h.session = session.New(benchService, 1, rand.New(rand.NewPCG(sim.seed, uint64(100+i))))
		h.coordinator = grant.NewCoordinator(benchService, rand.New(rand.NewPCG(sim.seed, uint64(200+i))))
		h.service = &svc
		h.session.Configure(&svc)
		h.session.SetZone(zoneName(i % sim.c.Zones))
		h.coordinator.Configure(&svc)
		w.ids[h.id] = i
		w.hosts = append(w.hosts, h)
	}
	w.setTargets()
	w.setCoordinators()
}

// setTargets updates the target list of every host.
func (w *coordinated) setTargets() {
	for _, h := range w.hosts {
		h.do(func(now time.Time) {
			h.session.SetTargets(now, w.listed)
			h.coordinator.SetTargets(now, w.listed)
		})
	}
}

// setCoordinators updates the coordinator of every host.
func (w *coordinated) setCoordinators() {
	for _, h := range w.hosts {
		i := w.coordinator(h.index)
		h.do(func(now time.Time) {
			if i < 0 {
				h.session.SetCoordinator(now, "", false)
				return
			}
			h.session.SetCoordinator(now, w.hosts[i].id, true)
		})
	}
}

func (w *coordinated) arrive(c *simCall) {
	w.hosts[c.host].ask(c, nil)
}

func (h *simHost) ask(c *simCall, avoid []ports.HostID) {
	h.do(func(now time.Time) {
		id := h.session.NextID()
		h.calls[id] = c
		h.session.Submit(now, pick.Request{Service: benchService, Avoid: avoid}, epoch.Add(c.deadline))
	})
}

// do runs an event on the host and processes the resulting decisions and
// messages until none are left for the host itself.
func (h *simHost) do(event func(now time.Time)) {
	now := h.strategy.sim.clock()
	event(now)
	for {
		out := h.session.TakeOutput()
		for _, d := range out.Decisions {
			h.applyDecision(d)
		}
		if len(out.Overdue) > 0 {
			h.sendOverdue(out.Overdue)
		}
		if out.To == h.id {
			h.coordinator.Receive(now, h.id, out.Frame)
		} else if out.To != "" {
			h.sendFrame(out.To, out.Frame)
		}
		if !h.flush(now) && out.To != h.id {
			break
		}
	}
	h.scheduleTick()
}

// flush sends the coordinator's pending replies and reports whether any of them
// was addressed to this host itself.
func (h *simHost) flush(now time.Time) bool {
	own := false
	h.coordinator.Flush(now, func(to ports.HostID, t grant.Reply) {
		t.Grants = append([]grant.Grant(nil), t.Grants...)
		t.Refusals = append([]grant.Refusal(nil), t.Refusals...)
		if to == h.id {
			own = true
			h.session.HandleReply(now, h.id, t)
			return
		}
		dst := h.strategy.hosts[h.strategy.ids[to]]
		h.deliver(dst, func(now time.Time) { dst.session.HandleReply(now, h.id, t) })
	})
	return own
}

func (h *simHost) sendFrame(to ports.HostID, f grant.Frame) {
	dst := h.strategy.hosts[h.strategy.ids[to]]
	h.deliver(dst, func(now time.Time) { dst.coordinator.Receive(now, h.id, f) })
}

func (h *simHost) sendOverdue(ids []ports.HostID) {
	for _, dst := range h.strategy.hosts {
		if dst != h {
			h.deliver(dst, func(now time.Time) { dst.session.MarkOverdue(now, ids) })
		}
	}
}

// deliver sends a message to another host, unless the sender is dead or either
// host is partitioned. A dead receiver drops the message; a paused one handles it
// when the pause ends.
func (h *simHost) deliver(dst *simHost, event func(now time.Time)) {
	w := h.strategy.sim
	h.strategy.messages++
	if h.dead || h.partitioned || dst.partitioned {
		return
	}
	w.after(w.distance(h.index, dst.index%w.c.Zones), func() {
		dst.whenAwake(func() { dst.do(event) })
	})
}

// whenAwake runs f now or, on a paused host, at the end of the pause. It never
// runs f on a dead host.
func (h *simHost) whenAwake(f func()) {
	w := h.strategy.sim
	switch {
	case h.dead:
	case h.pausedUntil > w.now:
		w.after(h.pausedUntil-w.now, func() { h.whenAwake(f) })
	default:
		f()
	}
}

func (h *simHost) scheduleTick() {
	w := h.strategy.sim
	next := h.coordinator.Next()
	if n := h.session.Next(); n > 0 && (next == 0 || n < next) {
		next = n
	}
	if next == 0 || (h.nextTick > 0 && h.nextTick <= w.now+next) {
		return
	}
	at := w.now + next
	h.nextTick = at
	w.after(next, func() {
		if h.nextTick != at {
			return // superseded by an earlier tick
		}
		h.nextTick = 0
		h.whenAwake(func() {
			h.do(func(now time.Time) {
				h.session.Tick(now)
				h.coordinator.Tick(now)
			})
		})
	})
}

// applyDecision applies a decision: it sends the call to its target or refuses it.
func (h *simHost) applyDecision(d session.Decision) {
	w := h.strategy.sim
	c := h.calls[d.ID]
	delete(h.calls, d.ID)
	if d.Reason != "" {
		w.refuse(c, d.Reason)
		return
	}
	if d.Local {
		h.strategy.placedLocally++
	}
	began := w.now
	t := w.targetByID(d.Target.ID)
	w.send(c, t, func(class pick.Class, load int) {
		h.whenAwake(func() { h.finishAttempt(c, t, d.ID, began, class, load) })
	})
}

// finishAttempt completes an attempt. A target that sheds load or is leaving refused
// the call before executing it, so the call is retried on another target; any
// other result is returned to the caller.
func (h *simHost) finishAttempt(
	c *simCall, t *simTarget, id grant.AttemptID, began time.Duration, class pick.Class, load int,
) {
	w := h.strategy.sim
	r := pick.Report{Class: class, Latency: w.now - began, Load: load, LeavingHint: class == pick.Leaving}
	h.do(func(now time.Time) { h.session.End(now, id, r) })
	if class == pick.Leaving || class == pick.Shed {
		h.ask(c, []ports.HostID{t.id})
		return
	}
	w.finish(c, class)
}

func (w *simulation) targetByID(id ports.HostID) *simTarget {
	for _, t := range w.targets {
		if t.id == id {
			return t
		}
	}
	panic("unknown target " + id)
}

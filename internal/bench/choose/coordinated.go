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

// coordinated runs the sessions and state of a daemon on every host.
type coordinated struct {
	world *world
	hosts []*simHost
	ids   map[ports.HostID]int
	// coordinator returns which host a host takes for the coordinator.
	coordinator func(host int) int
	listed      []blackboard.Target
	local       int // calls placed by fallback
	frames      int // messages between hosts
}

func zoneName(i int) string { return string(rune('a' + i)) }

// simHost is one entry host.
type simHost struct {
	way         *coordinated
	index       int
	id          ports.HostID
	session     *session.Session
	coordinator *grant.Coordinator
	calls       map[grant.AttemptID]*simCall
	armed       time.Duration // when the next tick comes; 0 means none
	service     *declare.Service
	// cut hosts neither send nor receive messages of other hosts.
	cut bool
	// dead hosts answer nothing; paused ones answer when the pause ends.
	dead   bool
	paused time.Duration
}

func (w *coordinated) attach(wd *world) {
	w.world = wd
	w.ids = make(map[ports.HostID]int)
	svc := declare.Service{Slots: wd.c.Slots, MaxQueue: wd.c.MaxQueue, ColdStart: wd.c.ColdStart}
	for _, t := range wd.targets {
		w.listed = append(w.listed, blackboard.Target{ID: t.id, Zone: zoneName(t.zone)})
	}
	for i := range wd.c.Hosts {
		h := &simHost{
			way:   w,
			index: i,
			id:    ports.HostID(fmt.Sprintf("h%02d", i)),
			calls: make(map[grant.AttemptID]*simCall),
		}
		h.session = session.New(benchService, 1, rand.New(rand.NewPCG(wd.seed, uint64(100+i))))
		h.coordinator = grant.NewCoordinator(benchService, rand.New(rand.NewPCG(wd.seed, uint64(200+i))))
		h.service = &svc
		h.session.Configure(&svc)
		h.session.SetZone(zoneName(i % wd.c.Zones))
		h.coordinator.Configure(&svc)
		w.ids[h.id] = i
		w.hosts = append(w.hosts, h)
	}
	w.setTargets()
	w.setCoordinators()
}

// setTargets tells every host the list of targets.
func (w *coordinated) setTargets() {
	for _, h := range w.hosts {
		h.do(func(now time.Time) {
			h.session.SetTargets(now, w.listed)
			h.coordinator.SetTargets(now, w.listed)
		})
	}
}

// setCoordinators tells every host its coordinator; a negative one is none.
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

// do runs one event of a host and carries out what follows from it.
func (h *simHost) do(event func(now time.Time)) {
	now := h.way.world.clock()
	event(now)
	for {
		out := h.session.TakeOutput()
		for _, d := range out.Decisions {
			h.decided(d)
		}
		if len(out.Overdue) > 0 {
			h.tellOverdue(out.Overdue)
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
	h.arm()
}

// flush sends what the coordinator has to say and reports whether some of it was for
// this host itself.
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
		dst := h.way.hosts[h.way.ids[to]]
		h.deliver(dst, func(now time.Time) { dst.session.HandleReply(now, h.id, t) })
	})
	return own
}

func (h *simHost) sendFrame(to ports.HostID, f grant.Frame) {
	dst := h.way.hosts[h.way.ids[to]]
	h.deliver(dst, func(now time.Time) { dst.coordinator.Receive(now, h.id, f) })
}

func (h *simHost) tellOverdue(ids []ports.HostID) {
	for _, dst := range h.way.hosts {
		if dst != h {
			h.deliver(dst, func(now time.Time) { dst.session.MarkOverdue(now, ids) })
		}
	}
}

// deliver carries a message to another host, unless one of them is dead. A
// paused host takes it when the pause ends.
func (h *simHost) deliver(dst *simHost, event func(now time.Time)) {
	w := h.way.world
	h.way.frames++
	if h.dead || h.cut || dst.cut {
		return
	}
	w.after(w.distance(h.index, dst.index%w.c.Zones), func() {
		dst.whenAwake(func() { dst.do(event) })
	})
}

// whenAwake runs f now or at the end of the pause, and never on a dead host.
func (h *simHost) whenAwake(f func()) {
	w := h.way.world
	switch {
	case h.dead:
	case h.paused > w.now:
		w.after(h.paused-w.now, func() { h.whenAwake(f) })
	default:
		f()
	}
}

func (h *simHost) arm() {
	w := h.way.world
	next := h.coordinator.Next()
	if n := h.session.Next(); n > 0 && (next == 0 || n < next) {
		next = n
	}
	if next == 0 || (h.armed > 0 && h.armed <= w.now+next) {
		return
	}
	at := w.now + next
	h.armed = at
	w.after(next, func() {
		if h.armed != at {
			return // an earlier tick took its place
		}
		h.armed = 0
		h.whenAwake(func() {
			h.do(func(now time.Time) {
				h.session.Tick(now)
				h.coordinator.Tick(now)
			})
		})
	})
}

// decided carries out a decision: the call goes to its target or is refused.
func (h *simHost) decided(d session.Decision) {
	w := h.way.world
	c := h.calls[d.ID]
	delete(h.calls, d.ID)
	if d.Reason != "" {
		w.refuse(c, d.Reason)
		return
	}
	if d.Local {
		h.way.local++
	}
	began := w.now
	t := w.targetByID(d.Target.ID)
	w.send(c, t, func(class pick.Class, load int) {
		h.whenAwake(func() { h.answered(c, t, d.ID, began, class, load) })
	})
}

// answered ends an attempt. A target that sheds or is leaving refused before
// running the call, so that it goes to another; every other answer is the
// caller's.
func (h *simHost) answered(c *simCall, t *simTarget, id grant.AttemptID, began time.Duration, class pick.Class, load int) {
	w := h.way.world
	r := pick.Report{Class: class, Latency: w.now - began, Load: load, LeavingHint: class == pick.Leaving}
	h.do(func(now time.Time) { h.session.End(now, id, r) })
	if class == pick.Leaving || class == pick.Shed {
		h.ask(c, []ports.HostID{t.id})
		return
	}
	w.finish(c, class)
}

func (w *world) targetByID(id ports.HostID) *simTarget {
	for _, t := range w.targets {
		if t.id == id {
			return t
		}
	}
	panic("unknown target " + id)
}

package grant

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/policy/latency"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Times of the protocol between a coordinator and the entry hosts.
const (
	// TickInterval is how often Tick should run while an ask waits.
	TickInterval = time.Millisecond
	// aliveEvery is how often a host with a queued ask hears that it is queued.
	aliveEvery = 1500 * time.Microsecond
	// HeartbeatInterval is how often a host sends a full frame while it has an ask
	// or an attempt.
	HeartbeatInterval = 50 * time.Millisecond
	// hostTimeout is the silence after which a host's attempts lapse: its
	// process died, it was cut off, or it has another coordinator. Until then
	// they take slots that may be free; a host that lapses by mistake tells of
	// its attempts anew with its next frame.
	hostTimeout = 3 * HeartbeatInterval
	// transit is how long a grant may be on its way before a full frame that
	// does not list it shows that it was lost.
	transit = 20 * time.Millisecond
)

// Coordinator holds the attempts in flight and the asks that wait, of one service. It
// is not safe for concurrent use.
type Coordinator struct {
	key     blackboard.ServiceKey
	slots   int
	cold    time.Duration
	rng     *rand.Rand
	clock   instant.Clock
	targets []*target
	byID    map[ports.HostID]*target
	hosts   []*host
	byHost  map[ports.HostID]*host
	queued  int
	calls   map[callKey]*call
	zones   []string
	spare   []*call

	service  latency.Tracker // of attempts that found a slot free
	failures health.Service
	gap      time.Duration  // slot time between two calls, see learnGap
	capacity int            // slots of the usable targets
	newlyOut []ports.HostID // ejected since Ejected was called
	reserved *target        // kept free for an ask that must be alone
	full     bool           // no target has a slot, as dispatch just found
	offset   int            // where the next choice starts among equals
}

// callKey names an attempt among those of all hosts.
type callKey struct {
	host ports.HostID
	id   AttemptID
}

// call is an attempt that holds a slot.
type call struct {
	host    *host
	id      AttemptID
	target  *target
	granted time.Time
	since   instant.Time // granted
	alone   bool
	// confirmed is set once a full frame of the host listed it: from then on
	// it has ended when a full frame does not.
	confirmed bool
	queued    bool // all slots of the target were taken when it was granted
}

// NewCoordinator returns a coordinator without targets or hosts.
func NewCoordinator(key blackboard.ServiceKey, rng *rand.Rand) *Coordinator {
	return &Coordinator{
		key:    key,
		slots:  1,
		rng:    rng,
		byID:   make(map[ports.HostID]*target),
		byHost: make(map[ports.HostID]*host),
		calls:  make(map[callKey]*call),
	}
}

// Configure takes the declaration of the service.
func (b *Coordinator) Configure(s *declare.Service) {
	b.slots = max(s.Slots, 1)
	b.cold = s.ColdStart
	b.count()
}

// SetTargets takes the view of the targets. Targets that are no longer listed
// get no new attempt and are forgotten when their last one has ended.
func (b *Coordinator) SetTargets(now time.Time, list []blackboard.Target) {
	for _, t := range b.targets {
		t.listed = false
	}
	for _, info := range list {
		t := b.byID[info.ID]
		if t == nil {
			t = &target{id: info.ID}
			b.byID[info.ID] = t
			b.targets = append(b.targets, t)
		}
		t.listed = true
		t.firstSeen = info.FirstSeen
		t.zone = b.zone(info.Zone)
		t.leaving = t.leaving || info.Leaving
	}
	for _, t := range b.targets {
		t.setOpen()
	}
	b.forgetTargets()
	b.dispatch(now)
}

// zone returns the number that stands for a zone's name.
func (b *Coordinator) zone(name string) zone {
	if i := slices.Index(b.zones, name); i >= 0 {
		return zone(i)
	}
	b.zones = append(b.zones, name)
	return zone(len(b.zones) - 1)
}

func (b *Coordinator) forgetTargets() {
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool {
		gone := !t.listed && t.inFlight() == 0
		if gone {
			delete(b.byID, t.id)
		}
		return gone
	})
	slices.SortFunc(b.targets, func(x, y *target) int { return cmp.Compare(x.id, y.id) })
	if b.reserved != nil && !b.reserved.usable() {
		b.reserved = nil
	}
	b.count()
}

// count brings the sums over all targets up to date.
func (b *Coordinator) count() {
	b.capacity = 0
	for _, t := range b.targets {
		if t.usable() {
			b.capacity += b.slots
		}
	}
}

// Receive takes a frame of an entry host.
func (b *Coordinator) Receive(now time.Time, from ports.HostID, f Frame) {
	h := b.host(from, f)
	if f.Epoch != h.epoch {
		return // a late frame of an earlier run
	}
	h.heard = now
	for i := range f.Completions {
		b.end(now, h, f.Completions[i])
	}
	for i := range f.Requests {
		b.ask(now, h, f.Requests[i])
	}
	// A full frame that a later frame overtook may list attempts whose end is
	// known already; they would come back and hold their slots until the next.
	if f.Full && f.Seq > h.seq {
		b.takeFull(now, h, f)
	}
	h.known = h.known || f.Full
	h.seq = max(h.seq, f.Seq)
	h.resync = !h.known
	if f.Full { // it also asks: are you there?
		h.alive = true
		h.decline = b.capacity == 0
	}
	b.dispatch(now)
}

// ask queues an ask or refuses it at once.
func (b *Coordinator) ask(now time.Time, h *host, a Request) {
	if h.waits(a.ID) || b.calls[callKey{h.id, a.ID}] != nil {
		return // listed again by a full frame
	}
	w := waiter{ask: a, since: now}
	if a.Remaining > 0 {
		w.deadline = now.Add(a.Remaining)
	}
	if reason, refused := b.refusal(&w); refused {
		h.refuse(a.ID, reason)
		return
	}
	w.tag = b.tag(now, h)
	h.queue.push(w)
	b.queued++
}

// refusal tells whether an ask can not be served in time, or at all.
func (b *Coordinator) refusal(w *waiter) (outcome.Reason, bool) {
	if w.ask.Remaining <= 0 || b.capacity == 0 {
		return "", false
	}
	if b.service.RequiredTime(b.ExpectedWait()) > w.ask.Remaining {
		return outcome.ReasonDeadline, true
	}
	return "", false
}

// ExpectedWait is how long an ask that came now would wait for a slot.
func (b *Coordinator) ExpectedWait() time.Duration {
	free := b.capacity - len(b.calls)
	if free > b.queued || b.capacity == 0 {
		return 0
	}
	return b.service.Mean() * time.Duration(b.queued) / time.Duration(b.capacity)
}

// end gives back the slot of an attempt, or withdraws an ask.
func (b *Coordinator) end(now time.Time, h *host, e Completion) {
	c := b.calls[callKey{h.id, e.ID}]
	if c == nil {
		if h.queue.remove(e.ID) {
			b.queued--
		}
		return
	}
	b.learn(now, c, e)
	b.release(now, c)
}

// release takes an attempt out of the state.
func (b *Coordinator) release(now time.Time, c *call) {
	delete(b.calls, callKey{c.host.id, c.id})
	held := c.target.remove(c)
	if !held {
		invariant.Broken(invariant.SlotAccount, "attempt ended that "+string(c.target.id)+" does not hold")
	}
	c.target.lastEnd = now
	if !c.target.listed && c.target.inFlight() == 0 {
		b.forgetTargets()
	}
	*c = call{}
	b.spare = append(b.spare, c)
}

// hold enters an attempt into the state.
func (b *Coordinator) hold(h *host, id AttemptID, t *target, since time.Time, alone bool) *call {
	var c *call
	if n := len(b.spare); n > 0 {
		c = b.spare[n-1]
		b.spare = b.spare[:n-1]
	} else {
		c = new(call)
	}
	*c = call{host: h, id: id, target: t, granted: since, alone: alone}
	c.since = b.clock.At(since)
	c.queued = t.inFlight() >= b.slots
	b.calls[callKey{h.id, id}] = c
	t.add(c)
	return c
}

// Next returns the time until Tick should run, 0 for never.
func (b *Coordinator) Next() time.Duration {
	switch {
	case b.queued > 0:
		return TickInterval
	case len(b.hosts) > 0:
		return HeartbeatInterval
	default:
		return 0
	}
}

// InFlight returns the attempts in the state.
func (b *Coordinator) InFlight() int { return len(b.calls) }

// Queued returns the asks that wait.
func (b *Coordinator) Queued() int { return b.queued }

// Tick watches the passing of time: deadlines of asks, hosts that fell silent,
// ejections that end.
func (b *Coordinator) Tick(now time.Time) {
	for i := len(b.hosts) - 1; i >= 0; i-- {
		h := b.hosts[i]
		if now.Sub(h.heard) > hostTimeout {
			b.dropHost(now, h)
			continue
		}
		b.expire(now, h)
	}
	b.dispatch(now)
	for _, h := range b.hosts {
		if h.queue.len() > 0 && now.Sub(h.told) >= aliveEvery {
			h.alive = true
		}
	}
}

func (b *Coordinator) expire(now time.Time, h *host) {
	b.queued -= h.queue.keepWaiters(func(w *waiter) bool {
		if w.deadline.IsZero() || now.Before(w.deadline) {
			return true
		}
		h.refuse(w.ask.ID, outcome.ReasonQueueTimeout)
		return false
	})
}

// DropHost lets the attempts of a host lapse that is known to be gone.
func (b *Coordinator) DropHost(now time.Time, id ports.HostID) {
	if h := b.byHost[id]; h != nil {
		b.dropHost(now, h)
		b.dispatch(now)
	}
}

func (b *Coordinator) dropHost(now time.Time, h *host) {
	for _, c := range b.held(h) {
		b.release(now, c)
	}
	b.queued -= h.queue.len()
	delete(b.byHost, h.id)
	b.hosts = slices.DeleteFunc(b.hosts, func(x *host) bool { return x == h })
}

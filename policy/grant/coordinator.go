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

// Timing of the protocol between a coordinator and the entry hosts.
const (
	// TickInterval is how often Tick should run while a request is waiting.
	TickInterval = time.Millisecond
	// keepaliveInterval is how often a host with a queued request gets a keepalive.
	keepaliveInterval = 1500 * time.Microsecond
	// HeartbeatInterval is how often a host sends a full frame while it has a request or an
	// attempt in flight.
	HeartbeatInterval = 50 * time.Millisecond
	// hostTimeout is the silence after which a host's attempts expire: its process died, it was
	// cut off, or it uses another coordinator. Until then they occupy slots that may be free. A
	// host that expires by mistake lists its attempts again in its next frame.
	hostTimeout = 3 * HeartbeatInterval
	// maxTransit is how long a grant may be in transit. After that, a full frame that does not
	// list it shows that it was lost.
	maxTransit = 20 * time.Millisecond
)

// Coordinator holds the attempts in flight and the waiting requests of one service. It is not
// safe for concurrent use.
type Coordinator struct {
	key          blackboard.ServiceKey
	slots        int
	coldStart    time.Duration
	rng          *rand.Rand
	clock        instant.Clock
	targets      []*target
	byID         map[ports.HostID]*target
	hosts        []*host
	byHost       map[ports.HostID]*host
	queued       int
	attempts     map[attemptKey]*attempt
	zones        []string
	freeAttempts []*attempt

	latencies    latency.Tracker // of attempts that were granted a free slot
	failures     health.Service
	turnaround   time.Duration  // idle time of a slot between two attempts, see updateTurnaround
	capacity     int            // slots of the usable targets
	newlyEjected []ports.HostID // ejected since TakeEjected was last called
	reserved     *target        // gets no more attempts, for the sake of an exclusive request
	saturated    bool           // dispatch found no target with a free slot
	offset       int            // target at which the next choice starts
}

// attemptKey identifies an attempt across all hosts.
type attemptKey struct {
	host ports.HostID
	id   AttemptID
}

// attempt is an attempt that holds a slot.
type attempt struct {
	host           *host
	id             AttemptID
	target         *target
	granted        time.Time
	grantedInstant instant.Time // same as granted
	exclusive      bool
	// confirmed is set once a full frame of the host listed the attempt. From then on, a full
	// frame that does not list it means that it has ended.
	confirmed bool
	queued    bool // all slots of the target were in use when it was granted
}

// NewCoordinator returns a coordinator without targets or hosts.
func NewCoordinator(key blackboard.ServiceKey, rng *rand.Rand) *Coordinator {
	return &Coordinator{
		key:      key,
		slots:    1,
		rng:      rng,
		byID:     make(map[ports.HostID]*target),
		byHost:   make(map[ports.HostID]*host),
		attempts: make(map[attemptKey]*attempt),
	}
}

// Configure applies the declaration of the service.
func (b *Coordinator) Configure(s *declare.Service) {
	b.slots = max(s.Slots, 1)
	b.coldStart = s.ColdStart
	b.updateCapacity()
}

// SetTargets replaces the list of targets. Targets that are no longer listed get no new attempts
// and are dropped when their last one has ended.
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
		t.updateAvailable()
	}
	b.dropTargets()
	b.dispatch(now)
}

// zone returns the number that stands for the name of an availability zone.
func (b *Coordinator) zone(name string) zone {
	if i := slices.Index(b.zones, name); i >= 0 {
		return zone(i)
	}
	b.zones = append(b.zones, name)
	return zone(len(b.zones) - 1)
}

func (b *Coordinator) dropTargets() {
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
	b.updateCapacity()
}

// updateCapacity recomputes the number of slots of all usable targets.
func (b *Coordinator) updateCapacity() {
	b.capacity = 0
	for _, t := range b.targets {
		if t.usable() {
			b.capacity += b.slots
		}
	}
}

// Receive processes a frame from an entry host.
func (b *Coordinator) Receive(now time.Time, from ports.HostID, f Frame) {
	h := b.host(from, f)
	if f.Epoch != h.epoch {
		return // delayed frame of an earlier run
	}
	h.lastHeard = now
	for i := range f.Completions {
		b.complete(now, h, f.Completions[i])
	}
	for i := range f.Requests {
		b.enqueue(now, h, f.Requests[i])
	}
	// An overtaken full frame may list attempts that are known to have ended; they would occupy
	// slots again until the next full frame.
	if f.Full && f.Seq > h.seq {
		b.applyFull(now, h, f)
	}
	h.synced = h.synced || f.Full
	h.seq = max(h.seq, f.Seq)
	h.resync = !h.synced
	if f.Full { // also serves as a liveness check
		h.keepalive = true
		h.decline = b.capacity == 0
	}
	b.dispatch(now)
}

// enqueue queues a request or refuses it immediately.
func (b *Coordinator) enqueue(now time.Time, h *host, a Request) {
	if h.isQueued(a.ID) || b.attempts[attemptKey{h.id, a.ID}] != nil {
		return // repeated by a full frame
	}
	w := waiter{request: a, since: now}
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

// refusal returns the reason to refuse a request that can not meet its deadline, and whether
// there is one.
func (b *Coordinator) refusal(w *waiter) (outcome.Reason, bool) {
	if w.request.Remaining <= 0 || b.capacity == 0 {
		return "", false
	}
	if b.latencies.RequiredTime(b.ExpectedWait()) > w.request.Remaining {
		return outcome.ReasonDeadline, true
	}
	return "", false
}

// ExpectedWait returns how long a request that arrives now would wait for a slot.
func (b *Coordinator) ExpectedWait() time.Duration {
	free := b.capacity - len(b.attempts)
	if free > b.queued || b.capacity == 0 {
		return 0
	}
	return b.latencies.Mean() * time.Duration(b.queued) / time.Duration(b.capacity)
}

// complete releases the slot of an attempt, or withdraws a waiting request.
func (b *Coordinator) complete(now time.Time, h *host, e Completion) {
	c := b.attempts[attemptKey{h.id, e.ID}]
	if c == nil {
		if h.queue.remove(e.ID) {
			b.queued--
		}
		return
	}
	b.observe(now, c, e)
	b.release(now, c)
}

// release removes an attempt.
func (b *Coordinator) release(now time.Time, c *attempt) {
	delete(b.attempts, attemptKey{c.host.id, c.id})
	held := c.target.remove(c)
	if !held {
		invariant.Broken(invariant.SlotAccount, "ended attempt of target "+string(c.target.id)+" is not recorded there")
	}
	c.target.lastEnd = now
	if !c.target.listed && c.target.inFlight() == 0 {
		b.dropTargets()
	}
	*c = attempt{}
	b.freeAttempts = append(b.freeAttempts, c)
}

// addAttempt records an attempt in flight.
func (b *Coordinator) addAttempt(h *host, id AttemptID, t *target, since time.Time, exclusive bool) *attempt {
	var c *attempt
	if n := len(b.freeAttempts); n > 0 {
		c = b.freeAttempts[n-1]
		b.freeAttempts = b.freeAttempts[:n-1]
	} else {
		c = new(attempt)
	}
	*c = attempt{host: h, id: id, target: t, granted: since, exclusive: exclusive}
	c.grantedInstant = b.clock.At(since)
	c.queued = t.inFlight() >= b.slots
	b.attempts[attemptKey{h.id, id}] = c
	t.add(c)
	return c
}

// Next returns the time until Tick should run, 0 if it need not.
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

// InFlight returns the number of attempts in flight.
func (b *Coordinator) InFlight() int { return len(b.attempts) }

// Queued returns the number of waiting requests.
func (b *Coordinator) Queued() int { return b.queued }

// Tick applies timeouts: deadlines of requests, silent hosts, and the ends of ejections.
func (b *Coordinator) Tick(now time.Time) {
	for i := len(b.hosts) - 1; i >= 0; i-- {
		h := b.hosts[i]
		if now.Sub(h.lastHeard) > hostTimeout {
			b.dropHost(now, h)
			continue
		}
		b.expire(now, h)
	}
	b.dispatch(now)
	for _, h := range b.hosts {
		if h.queue.len() > 0 && now.Sub(h.lastSent) >= keepaliveInterval {
			h.keepalive = true
		}
	}
}

func (b *Coordinator) expire(now time.Time, h *host) {
	b.queued -= h.queue.retainWaiters(func(w *waiter) bool {
		if w.deadline.IsZero() || now.Before(w.deadline) {
			return true
		}
		h.refuse(w.request.ID, outcome.ReasonQueueTimeout)
		return false
	})
}

// DropHost removes a host that is known to be gone, with its attempts and requests.
func (b *Coordinator) DropHost(now time.Time, id ports.HostID) {
	if h := b.byHost[id]; h != nil {
		b.dropHost(now, h)
		b.dispatch(now)
	}
}

func (b *Coordinator) dropHost(now time.Time, h *host) {
	for _, c := range b.attemptsOf(h) {
		b.release(now, c)
	}
	b.queued -= h.queue.len()
	delete(b.byHost, h.id)
	b.hosts = slices.DeleteFunc(b.hosts, func(x *host) bool { return x == h })
}

package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The model plays callers, hosts and the targets of one service in virtual time, with a choice of
// target that is much simpler than that of package placer.
const (
	modelSlots    = 3
	modelQueue    = 6
	modelWork     = 200 * time.Millisecond
	modelCrowded  = 1.7 // factor while all slots are in use
	modelWaits    = 4
	modelWait     = 20 * time.Millisecond
	modelZones    = 3
	modelDeadline = 3 * time.Second
	modelHop      = 2 * time.Millisecond
	// modelRun is how long a scenario takes; the first modelWarmUp of it isn't counted.
	modelRun    = 12 * time.Second
	modelWarmUp = 4 * time.Second
)

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// stream is a source of requests: a tenant, or a part of one.
type stream struct {
	key    Key
	kind   int     // index of modelKinds
	rate   float64 // as a fraction of the capacity
	host   int     // the host that gets all of it; all hosts if negative
	from   time.Duration
	atOnce bool // callers retry at once
}

// modelKinds are the kinds of requests.
var modelKinds = []struct{ work, objective time.Duration }{
	{140 * time.Millisecond, 400 * time.Millisecond},
	{200 * time.Millisecond, 800 * time.Millisecond},
	{290 * time.Millisecond, 1500 * time.Millisecond},
}

// tally counts requests by final result.
type tally struct{ sent, inTime, late, atOnce, afterWait, lost float64 }

func (t *tally) served() float64 { return t.inTime + t.late }

// ratio is the served fraction.
func (t *tally) ratio() float64 { return t.served() / max(t.sent, 1) }

type modelTarget struct {
	running   int
	waiting   []func()
	slowFrom  time.Duration
	slowUntil time.Duration
}

type scenario struct {
	hosts   int
	streams []stream
	// cut separates the last third of the hosts from the others.
	cut bool
	// blind hides the load of targets from hosts.
	blind bool
	seed  uint64
	// noReserve and spareWaits leave out that requests beyond their share leave a slot free, and
	// that they don't wait for one.
	noReserve, spareWaits bool
	// noHopeless leaves out that retries that can hardly be in time give way.
	noHopeless bool
}

type model struct {
	scenario
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	targets []*modelTarget
	how     approach
	// load is the moving average of calls for each slot that a host saw.
	load   []float64
	tenant map[Key]*tally
	kind   map[int]*tally
	zone   map[int]*tally
	rank   map[int]*tally
	all    tally
	// windows are the tallies by rank of each two seconds.
	windows map[[2]int]*tally
}

// modelCapacity is about the number of requests a second that the targets of hosts can run: they
// are crowded and slow for a part of the time.
func modelCapacity(hosts int) float64 {
	return float64(modelTargets(hosts)*modelSlots) / (modelWork.Seconds() * modelCrowded * 1.25)
}

func modelTargets(hosts int) int { return max(6, hosts*6/10) }

func play(s scenario, how approach) *model {
	m := &model{
		scenario: s, how: how, rng: rand.New(rand.NewPCG(s.seed, 1)), load: make([]float64, s.hosts),
		tenant: map[Key]*tally{}, kind: map[int]*tally{}, zone: map[int]*tally{}, rank: map[int]*tally{}, windows: map[[2]int]*tally{},
	}
	for range modelTargets(s.hosts) {
		m.targets = append(m.targets, &modelTarget{})
	}
	how.start(m)
	for _, st := range s.streams {
		m.at(st.from+m.gap(st), func() { m.source(st) })
	}
	m.at(Interval, m.tick)
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	return m
}

func (m *model) at(t time.Duration, do func()) { heap.Push(&m.queue, event{t, do}) }

func (m *model) gap(s stream) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / (s.rate * modelCapacity(m.hosts)) * float64(time.Second))
}

func (m *model) tick() {
	m.how.tick()
	if m.now < modelRun {
		m.at(m.now+Interval, m.tick)
	}
}

func (m *model) source(s stream) {
	if m.now > modelRun {
		return
	}
	m.at(m.now+m.gap(s), func() { m.source(s) })
	host := s.host
	if host < 0 {
		host = m.rng.IntN(m.hosts)
	}
	c := &modelCall{m: m, stream: s, host: host, began: m.now, tries: 2}
	c.try()
}

// modelCall is one request of a caller with its retries.
type modelCall struct {
	m *model
	stream
	host  int
	began time.Duration
	tries int
	// waited is set once any attempt has waited for a slot.
	waited bool
}

func (c *modelCall) try() {
	m := c.m
	k := modelKinds[c.kind]
	r := Request{Key: c.key, Objective: k.objective, Left: k.objective - (m.now - c.began), Usual: 2 * k.work}
	if m.noHopeless {
		r.Usual = 0
	}
	d := m.how.decide(c.host, r)
	if !d.Admitted {
		c.refused(RetryAfter(d.Share, m.rng.Float64()))
		return
	}
	c.choose(d, 0)
}

// choose probes targets, sends the request to the best one, waits or gives up.
func (c *modelCall) choose(d Decision, waits int) {
	m := c.m
	left := modelKinds[c.kind].objective - (m.now - c.began)
	var best *modelTarget
	least := 0
	for range 8 {
		t := m.targets[m.rng.IntN(len(m.targets))]
		calls := t.running + len(t.waiting)
		m.load[c.host] += 0.02 * (float64(calls)/modelSlots - m.load[c.host])
		if m.blind {
			calls = 0
		}
		if best == nil || calls < least {
			best, least = t, calls
		}
	}
	m.how.probed(c.host, m.load[c.host])
	expected := time.Duration((1 + float64(max(0, least+1-modelSlots))/modelSlots) * modelCrowded * float64(modelWork))
	free := least < modelSlots
	if d.LeaveSlot && !m.noReserve {
		free = least < modelSlots-1
	}
	scarce := m.load[c.host] >= 0.5
	inTime := expected <= left
	if m.blind || free && (inTime || !scarce) || !scarce && inTime && least < modelSlots+modelQueue {
		m.how.noted(c.host, Observed{Admitted: 1})
		m.at(m.now+modelHop, func() { c.arrive(best) })
		return
	}
	if d.Spare && !m.spareWaits || waits >= modelWaits || !inTime {
		if left >= modelWork*17/10 {
			m.how.noted(c.host, Observed{Admitted: 1, NoRoom: 1})
		}
		c.waited = c.waited || waits > 0
		c.refused(200 * time.Millisecond)
		return
	}
	m.at(m.now+modelWait, func() { c.choose(d, waits+1) })
}

// refused retries, or ends the call.
func (c *modelCall) refused(after time.Duration) {
	m := c.m
	if c.atOnce {
		after = time.Millisecond
	}
	remaining := modelDeadline - (m.now - c.began)
	if c.tries--; c.tries < 0 || after > remaining/3 {
		if c.waited {
			c.count(func(t *tally) { t.afterWait++ })
		} else {
			c.count(func(t *tally) { t.atOnce++ })
		}
		return
	}
	m.at(m.now+after, c.try)
}

// arrive queues the request at a target, which never answers it if its queue is full.
func (c *modelCall) arrive(t *modelTarget) {
	switch {
	case t.running < modelSlots:
		c.run(t)
	case len(t.waiting) < modelQueue:
		t.waiting = append(t.waiting, func() { c.run(t) })
	default:
		c.m.how.noted(c.host, Observed{NoRoom: 1})
		c.count(func(t *tally) { t.lost++ })
	}
}

func (c *modelCall) run(t *modelTarget) {
	m := c.m
	t.running++
	work := time.Duration(float64(modelKinds[c.kind].work) * min(m.rng.ExpFloat64()*0.6+0.4, 5))
	if t.running == modelSlots {
		work = time.Duration(float64(work) * modelCrowded)
	}
	m.at(m.now+work+t.slowness(m, work), func() { c.ended(t) })
}

// slowness returns how much longer some work takes, by the slow periods of the target.
func (t *modelTarget) slowness(m *model, work time.Duration) time.Duration {
	if m.now >= t.slowUntil {
		t.slowFrom = t.slowUntil + time.Duration(m.rng.ExpFloat64()*float64(350*time.Millisecond))
		t.slowFrom = max(t.slowFrom, m.now)
		t.slowUntil = t.slowFrom + 150*time.Millisecond
	}
	from := max(m.now, t.slowFrom)
	if from >= m.now+work {
		return 0
	}
	// The target does a fifth of the work in the slow period, and the rest after it.
	return min(4*(m.now+work-from), (t.slowUntil-from)*4/5)
}

func (c *modelCall) ended(t *modelTarget) {
	m := c.m
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		next()
	}
	took := m.now - c.began
	late := took > modelKinds[c.kind].objective
	switch {
	case took > modelDeadline:
		c.count(func(t *tally) { t.lost++ })
	case late:
		c.count(func(t *tally) { t.late++ })
	default:
		c.count(func(t *tally) { t.inTime++ })
	}
	if m.blind {
		o := Observed{Answered: 1}
		if late {
			o.Late = 1
		}
		m.how.noted(c.host, o)
	}
}

func (c *modelCall) count(add func(*tally)) {
	if c.began < modelWarmUp {
		return
	}
	m := c.m
	window := [2]int{int(c.began / (2 * time.Second)), c.key.Rank}
	for _, t := range []*tally{
		&m.all, of(m.tenant, c.key), of(m.kind, c.kind), of(m.zone, c.host%modelZones), of(m.rank, c.key.Rank), of(m.windows, window),
	} {
		t.sent++
		add(t)
	}
}

func of[K comparable](all map[K]*tally, k K) *tally {
	if all[k] == nil {
		all[k] = new(tally)
	}
	return all[k]
}

package choose

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Case describes a service and the load on it.
type Case struct {
	Name    string
	Hosts   int
	Zones   int
	Targets int
	Slots   int
	Mean    time.Duration // mean service time
	Sigma   float64       // standard deviation of the logarithm of the service time
	Load    float64       // offered load as a fraction of the slot capacity
	Calls   int
	// A target spends the fraction StragglerShare of the time in slow episodes of
	// mean length StragglerFor, in which it is StragglerFactor times slower.
	StragglerFactor int
	StragglerFor    time.Duration
	StragglerShare  float64
	// WholeCall slows down a call that starts in a slow episode until its end;
	// otherwise only the part of the call within the episode is slow.
	WholeCall bool
	// Near and Far are the one-way network latencies within a zone and between
	// zones.
	Near, Far time.Duration
	Timeout   time.Duration
	MaxQueue  int
	// ColdStart is the declared duration of a cold start.
	ColdStart time.Duration
}

// simulation is the state of one simulation run: the targets, the arrivals and the
// outcomes of the calls.
type simulation struct {
	engine
	c          Case
	seed       uint64
	rng        *rand.Rand
	targets    []*simTarget
	strategy   strategy
	end        time.Duration // arrivals end here
	countFrom  time.Duration // calls that arrive earlier are not counted
	countUntil time.Duration // if set, nor are calls that arrive at or after it

	// pickHost draws the entry host of a call; nil means uniformly.
	pickHost func() int
	// countOnly selects the calls that are counted; nil means all.
	countOnly func(*simCall) bool

	latencies []time.Duration
	arrived   int
	late      int // responses after the deadline
	failed    int
	refused   map[outcome.Reason]int
	answered  int
	inWindow  int // timely responses within the measurement window
}

// strategy is a strategy for choosing targets.
type strategy interface {
	// attach prepares the strategy for a run.
	attach(w *simulation)
	// arrive takes a call and must eventually settle it exactly once, through
	// finish or refuse.
	arrive(c *simCall)
}

// simCall is a simulated call.
type simCall struct {
	host     int
	at       time.Duration
	work     time.Duration
	deadline time.Duration
	attempts int
	settled  bool
}

func newSimulation(c Case, seed uint64, w strategy) *simulation {
	sim := &simulation{
		c:        c,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		strategy: w,
		refused:  make(map[outcome.Reason]int),
	}
	for i := range c.Targets {
		sim.addTarget(i)
	}
	sim.end = time.Duration(float64(c.Calls) * float64(c.Mean) / (c.Load * float64(c.Targets*c.Slots)))
	sim.countFrom = sim.end / 10
	w.attach(sim)
	return sim
}

func (w *simulation) addTarget(i int) *simTarget {
	t := &simTarget{
		id:    ports.HostID(fmt.Sprintf("t%03d", i)),
		index: i,
		zone:  i % w.c.Zones,
		sim:   w,
		rng:   rand.New(rand.NewPCG(w.seed, uint64(1000+i))),
	}
	w.targets = append(w.targets, t)
	return t
}

// run simulates the whole case, with 10 seconds after the last arrival for calls
// in flight to complete.
func (w *simulation) run() {
	w.after(0, w.nextArrival)
	w.runUntil(w.end + 10*time.Second)
}

func (w *simulation) nextArrival() {
	if w.now >= w.end {
		return
	}
	call := &simCall{
		host: w.drawHost(),
		at:   w.now,
		work: lognormal(w.rng, w.c.Mean, w.c.Sigma),
	}
	call.deadline = call.at + w.c.Timeout
	if w.counted(call) {
		w.arrived++
	}
	gap := time.Duration(float64(w.c.Mean) / (w.c.Load * float64(w.c.Targets*w.c.Slots)))
	w.after(exponential(w.rng, gap), w.nextArrival)
	w.strategy.arrive(call)
}

func (w *simulation) drawHost() int {
	if w.pickHost != nil {
		return w.pickHost()
	}
	return w.rng.IntN(w.c.Hosts)
}

func (w *simulation) counted(c *simCall) bool {
	if w.countOnly != nil && !w.countOnly(c) {
		return false
	}
	return c.at >= w.countFrom && (w.countUntil == 0 || c.at < w.countUntil)
}

// distance returns the one-way network latency between a host and a zone.
func (w *simulation) distance(host, zone int) time.Duration {
	if host%w.c.Zones == zone {
		return w.c.Near
	}
	return w.c.Far
}

// send delivers an attempt to a target and its response back to the host.
func (w *simulation) send(c *simCall, t *simTarget, done func(class pick.Class, load int)) {
	c.attempts++
	d := w.distance(c.host, t.zone)
	w.after(d, func() {
		t.arrive(&job{work: c.work, answer: func(class pick.Class, load int) {
			w.after(d, func() { done(class, load) })
		}})
	})
}

// finish records the result of a call.
func (w *simulation) finish(c *simCall, class pick.Class) {
	if c.settled {
		panic("call settled twice")
	}
	c.settled = true
	inTime := class == pick.OK && w.now <= c.deadline
	if inTime && w.now >= w.countFrom && w.now < w.end {
		w.inWindow++
	}
	if !w.counted(c) {
		return
	}
	switch {
	case class != pick.OK:
		w.failed++
	case w.now > c.deadline:
		w.late++
	default:
		w.answered++
		w.latencies = append(w.latencies, w.now-c.at)
	}
}

// refuse records that a call was refused.
func (w *simulation) refuse(c *simCall, r outcome.Reason) {
	if c.settled {
		panic("call settled twice")
	}
	c.settled = true
	if w.counted(c) {
		w.refused[r]++
	}
}

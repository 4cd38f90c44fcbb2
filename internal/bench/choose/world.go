package choose

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Case is a service and the load on it.
type Case struct {
	Name    string
	Hosts   int
	Zones   int
	Targets int
	Slots   int
	Mean    time.Duration // of the service time
	Sigma   float64       // of its logarithm
	Load    float64       // share of all slots that the calls need
	Calls   int
	// A target is StragglerFactor times slower for StragglerFor at a time, a
	// StragglerShare of the time.
	StragglerFactor int
	StragglerFor    time.Duration
	StragglerShare  float64
	// WholeCall makes a call that starts in a slow time slow to its end;
	// otherwise only the part of it that falls into the slow time is.
	WholeCall bool
	// Near and Far are the times one way inside a zone and across.
	Near, Far time.Duration
	Timeout   time.Duration
	MaxQueue  int
	// ColdStart is the declared length of a cold start.
	ColdStart time.Duration
}

// world is one run: the targets, the arrivals and what became of the calls.
type world struct {
	engine
	c       Case
	seed    uint64
	rng     *rand.Rand
	targets []*simTarget
	way     way
	end     time.Duration // of the arrivals
	warm    time.Duration // calls before are not counted
	until   time.Duration // nor those after, if set

	// pickHost draws the entry host of a call; nil means evenly.
	pickHost func() int
	// only restricts what is counted to some calls; nil means all.
	only func(*simCall) bool

	latencies []time.Duration
	arrived   int
	late      int // answers after the deadline
	failed    int
	refused   map[outcome.Reason]int
	answered  int
	inWindow  int // answers in time that came in the window of arrivals
}

// way is a way of choosing targets.
type way interface {
	// attach prepares it for a run.
	attach(w *world)
	// arrive takes a call and sees to it that call.done is called once.
	arrive(c *simCall)
}

// simCall is one call of a caller.
type simCall struct {
	host     int
	at       time.Duration
	work     time.Duration
	deadline time.Duration
	attempts int
	settled  bool
}

func newWorld(c Case, seed uint64, w way) *world {
	wd := &world{
		c:       c,
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		way:     w,
		refused: make(map[outcome.Reason]int),
	}
	for i := range c.Targets {
		wd.addTarget(i)
	}
	wd.end = time.Duration(float64(c.Calls) * float64(c.Mean) / (c.Load * float64(c.Targets*c.Slots)))
	wd.warm = wd.end / 10
	w.attach(wd)
	return wd
}

func (w *world) addTarget(i int) *simTarget {
	t := &simTarget{
		id:    ports.HostID(fmt.Sprintf("t%03d", i)),
		index: i,
		zone:  i % w.c.Zones,
		world: w,
		rng:   rand.New(rand.NewPCG(w.seed, uint64(1000+i))),
	}
	w.targets = append(w.targets, t)
	return t
}

// run plays the whole case.
func (w *world) run() {
	w.after(0, w.nextArrival)
	w.runUntil(w.end + 10*time.Second)
}

func (w *world) nextArrival() {
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
	w.way.arrive(call)
}

func (w *world) drawHost() int {
	if w.pickHost != nil {
		return w.pickHost()
	}
	return w.rng.IntN(w.c.Hosts)
}

func (w *world) counted(c *simCall) bool {
	if w.only != nil && !w.only(c) {
		return false
	}
	return c.at >= w.warm && (w.until == 0 || c.at < w.until)
}

// distance is the time one way between a host and another place.
func (w *world) distance(host, zone int) time.Duration {
	if host%w.c.Zones == zone {
		return w.c.Near
	}
	return w.c.Far
}

// send carries an attempt to a target and its answer back.
func (w *world) send(c *simCall, t *simTarget, done func(class pick.Class, load int)) {
	c.attempts++
	d := w.distance(c.host, t.zone)
	w.after(d, func() {
		t.arrive(&job{work: c.work, answer: func(class pick.Class, load int) {
			w.after(d, func() { done(class, load) })
		}})
	})
}

// finish notes the end of a call.
func (w *world) finish(c *simCall, class pick.Class) {
	if c.settled {
		panic("call settled twice")
	}
	c.settled = true
	inTime := class == pick.OK && w.now <= c.deadline
	if inTime && w.now >= w.warm && w.now < w.end {
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

// refuse notes a call that was refused.
func (w *world) refuse(c *simCall, r outcome.Reason) {
	if c.settled {
		panic("call settled twice")
	}
	c.settled = true
	if w.counted(c) {
		w.refused[r]++
	}
}

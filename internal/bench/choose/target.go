package choose

import (
	"math/rand/v2"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// episode is an interval in which a target runs slower.
type episode struct {
	from, to time.Duration
}

// simTarget is a simulated target with a fixed number of slots and a FIFO queue.
type simTarget struct {
	id    ports.HostID
	index int
	zone  int
	sim   *simulation
	rng   *rand.Rand

	busy  int
	queue []*job

	slow               []episode // in order, generated on demand
	failFrom           time.Duration
	shedFrom           time.Duration
	drainFrom          time.Duration // refuses new calls from this time on
	started            time.Duration // start time of a cold target; 0 if warm
	received           int           // attempts received
	receivedAfterFault int           // attempts received after the fault
	lastReceived       time.Duration
	slotTime           time.Duration
}

// job is one attempt at a target; answer is called with its result and the
// target's load.
type job struct {
	work   time.Duration
	answer func(class pick.Class, load int)
}

// arrive handles an incoming attempt.
func (t *simTarget) arrive(j *job) {
	t.received++
	t.lastReceived = t.sim.now
	if t.failFrom > 0 && t.sim.now >= t.failFrom {
		t.receivedAfterFault++
		t.sim.after(failTime, func() { j.answer(pick.Failed, t.load()) })
		return
	}
	if t.shedFrom > 0 && t.sim.now >= t.shedFrom {
		t.receivedAfterFault++
		j.answer(pick.Shed, t.load())
		return
	}
	if t.drainFrom > 0 && t.sim.now >= t.drainFrom {
		t.receivedAfterFault++
		j.answer(pick.Leaving, t.load())
		return
	}
	if t.busy >= t.sim.c.Slots {
		t.queue = append(t.queue, j)
		return
	}
	t.start(j)
}

// failTime is the response time of a target that fails fast.
const failTime = 100 * time.Microsecond

func (t *simTarget) load() int { return t.busy + len(t.queue) }

func (t *simTarget) start(j *job) {
	t.busy++
	d := t.duration(j.work)
	t.slotTime += d
	t.sim.after(d, func() {
		t.busy--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.start(next)
		}
		j.answer(pick.OK, t.load())
	})
}

// duration returns how long the work takes if started now, accounting for slow
// episodes and for a cold start.
func (t *simTarget) duration(work time.Duration) time.Duration {
	at := t.sim.now
	if t.started > 0 && at < t.started+warmUpTime {
		warm := float64(at-t.started) / float64(warmUpTime)
		work = time.Duration(float64(work) * (coldFactor - (coldFactor-1)*warm))
	}
	if t.sim.c.WholeCall {
		return t.wholeCall(at, work)
	}
	left := work
	for i := 0; ; i++ {
		e := t.episode(i)
		if e.to <= at {
			continue
		}
		if at < e.from {
			if at+left <= e.from {
				return at + left - t.sim.now
			}
			left -= e.from - at
			at = e.from
		}
		factor := time.Duration(t.sim.c.StragglerFactor)
		if at+left*factor <= e.to {
			return at + left*factor - t.sim.now
		}
		left -= (e.to - at) / factor
		at = e.to
	}
}

func (t *simTarget) wholeCall(at, work time.Duration) time.Duration {
	i := 0
	for t.episode(i).to <= at {
		i++
	}
	if t.episode(i).from > at {
		return work
	}
	return work * time.Duration(t.sim.c.StragglerFactor)
}

// A cold target initially takes coldFactor times as long; the factor falls
// linearly to 1 over warmUpTime.
const (
	warmUpTime = 2 * time.Second
	coldFactor = 5.0
)

// episode returns the i-th slow episode, generating it on first use.
func (t *simTarget) episode(i int) episode {
	for len(t.slow) <= i {
		last := time.Duration(0)
		if n := len(t.slow); n > 0 {
			last = t.slow[n-1].to
		}
		c := t.sim.c
		if c.StragglerShare <= 0 {
			return episode{from: never, to: never}
		}
		fast := time.Duration(float64(c.StragglerFor) * (1/c.StragglerShare - 1))
		from := last + exponential(t.rng, fast)
		t.slow = append(t.slow, episode{from, from + exponential(t.rng, c.StragglerFor)})
	}
	return t.slow[i]
}

const never = time.Duration(1 << 62)

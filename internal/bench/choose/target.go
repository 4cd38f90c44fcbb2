package choose

import (
	"math/rand/v2"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// episode is a time in which a target runs slower.
type episode struct {
	from, to time.Duration
}

// simTarget is a target with a few slots and a first-in-first-out queue.
type simTarget struct {
	id    ports.HostID
	index int
	zone  int
	world *world
	rng   *rand.Rand

	busy  int
	queue []*job

	slow     []episode // in order, made as time goes on
	failFrom time.Duration
	shedFrom time.Duration
	leaves   time.Duration // refuses new calls from then on
	started  time.Duration // a cold start begins here
	got      int           // calls that arrived
	gotAfter int           // calls that arrived after its fault
	lastGot  time.Duration
	slotTime time.Duration
}

// job is one attempt at a target.
type job struct {
	work   time.Duration
	answer func(class pick.Class, load int)
}

// arrive takes an attempt.
func (t *simTarget) arrive(j *job) {
	t.got++
	t.lastGot = t.world.now
	if t.failFrom > 0 && t.world.now >= t.failFrom {
		t.gotAfter++
		t.world.after(failTime, func() { j.answer(pick.Failed, t.load()) })
		return
	}
	if t.shedFrom > 0 && t.world.now >= t.shedFrom {
		t.gotAfter++
		j.answer(pick.Shed, t.load())
		return
	}
	if t.leaves > 0 && t.world.now >= t.leaves {
		t.gotAfter++
		j.answer(pick.Leaving, t.load())
		return
	}
	if t.busy >= t.world.c.Slots {
		t.queue = append(t.queue, j)
		return
	}
	t.start(j)
}

// failTime is how long a target that fails fast takes to answer.
const failTime = 100 * time.Microsecond

func (t *simTarget) load() int { return t.busy + len(t.queue) }

func (t *simTarget) start(j *job) {
	t.busy++
	d := t.duration(j.work)
	t.slotTime += d
	t.world.after(d, func() {
		t.busy--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.start(next)
		}
		j.answer(pick.OK, t.load())
	})
}

// duration is how long the work takes from now, with the slow times in it.
func (t *simTarget) duration(work time.Duration) time.Duration {
	at := t.world.now
	if t.started > 0 && at < t.started+coldFor {
		warm := float64(at-t.started) / float64(coldFor)
		work = time.Duration(float64(work) * (coldFactor - (coldFactor-1)*warm))
	}
	if t.world.c.WholeCall {
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
				return at + left - t.world.now
			}
			left -= e.from - at
			at = e.from
		}
		factor := time.Duration(t.world.c.StragglerFactor)
		if at+left*factor <= e.to {
			return at + left*factor - t.world.now
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
	return work * time.Duration(t.world.c.StragglerFactor)
}

// A cold target takes coldFactor times as long at first, and warms up evenly.
const (
	coldFor    = 2 * time.Second
	coldFactor = 5.0
)

// episode returns the i-th slow time, which it draws at first use.
func (t *simTarget) episode(i int) episode {
	for len(t.slow) <= i {
		last := time.Duration(0)
		if n := len(t.slow); n > 0 {
			last = t.slow[n-1].to
		}
		c := t.world.c
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

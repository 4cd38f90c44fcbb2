package choose

import (
	"math/rand/v2"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// baseline sends each call immediately to the target selected by choose, which
// uses only the state of the entry host.
type baseline struct {
	sim        *simulation
	rng        *rand.Rand
	inFlight   [][]int // attempts in flight, indexed by host and target
	lastTarget []int
	choose     func(b *baseline, host int) int
}

func (b *baseline) attach(w *simulation) {
	b.sim = w
	b.rng = rand.New(rand.NewPCG(w.seed, 2))
	b.inFlight = make([][]int, w.c.Hosts)
	b.lastTarget = make([]int, w.c.Hosts)
	for i := range b.inFlight {
		b.inFlight[i] = make([]int, w.c.Targets)
		b.lastTarget[i] = b.rng.IntN(w.c.Targets)
	}
}

func (b *baseline) arrive(c *simCall) {
	i := b.choose(b, c.host)
	b.inFlight[c.host][i]++
	b.sim.send(c, b.sim.targets[i], func(class pick.Class, _ int) {
		b.inFlight[c.host][i]--
		b.sim.finish(c, class)
	})
}

func chooseRandom(b *baseline, _ int) int { return b.rng.IntN(b.sim.c.Targets) }

func chooseRoundRobin(b *baseline, host int) int {
	b.lastTarget[host] = (b.lastTarget[host] + 1) % b.sim.c.Targets
	return b.lastTarget[host]
}

func chooseTwo(b *baseline, host int) int {
	i := b.rng.IntN(b.sim.c.Targets)
	j := b.rng.IntN(b.sim.c.Targets - 1)
	if j >= i {
		j++
	}
	if b.inFlight[host][j] < b.inFlight[host][i] {
		return j
	}
	return i
}

// ideal is a single FIFO queue shared by all targets, without network latency: a
// call starts immediately if a slot is free and otherwise waits in order of
// arrival. The queue is bounded, so that under overload it also gives the
// achievable capacity.
type ideal struct {
	sim   *simulation
	rng   *rand.Rand
	queue []*simCall
}

func (q *ideal) attach(w *simulation) {
	q.sim = w
	q.rng = rand.New(rand.NewPCG(w.seed, 2))
}

func (q *ideal) arrive(c *simCall) {
	if len(q.queue) >= q.sim.c.MaxQueue*q.sim.c.Hosts {
		q.sim.refuse(c, outcome.ReasonQueueFull)
		return
	}
	q.queue = append(q.queue, c)
	q.serve()
}

func (q *ideal) serve() {
	for len(q.queue) > 0 {
		t := q.free()
		if t == nil {
			return
		}
		c := q.queue[0]
		q.queue = q.queue[1:]
		t.arrive(&job{work: c.work, answer: func(class pick.Class, _ int) {
			q.sim.finish(c, class)
			q.serve()
		}})
	}
}

func (q *ideal) free() *simTarget {
	var found *simTarget
	n := 0
	for _, t := range q.sim.targets {
		if t.busy >= q.sim.c.Slots {
			continue
		}
		n++
		if q.rng.IntN(n) == 0 {
			found = t
		}
	}
	return found
}

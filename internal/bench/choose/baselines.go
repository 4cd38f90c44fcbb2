package choose

import (
	"math/rand/v2"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// baseline sends each call at once to the target that choose names, by what its
// entry host alone knows.
type baseline struct {
	world  *world
	rng    *rand.Rand
	own    [][]int // attempts in flight, by host and target
	turn   []int
	choose func(b *baseline, host int) int
}

func (b *baseline) attach(w *world) {
	b.world = w
	b.rng = rand.New(rand.NewPCG(w.seed, 2))
	b.own = make([][]int, w.c.Hosts)
	b.turn = make([]int, w.c.Hosts)
	for i := range b.own {
		b.own[i] = make([]int, w.c.Targets)
		b.turn[i] = b.rng.IntN(w.c.Targets)
	}
}

func (b *baseline) arrive(c *simCall) {
	i := b.choose(b, c.host)
	b.own[c.host][i]++
	b.world.send(c, b.world.targets[i], func(class pick.Class, _ int) {
		b.own[c.host][i]--
		b.world.finish(c, class)
	})
}

func chooseRandom(b *baseline, _ int) int { return b.rng.IntN(b.world.c.Targets) }

func chooseRoundRobin(b *baseline, host int) int {
	b.turn[host] = (b.turn[host] + 1) % b.world.c.Targets
	return b.turn[host]
}

func chooseTwo(b *baseline, host int) int {
	i := b.rng.IntN(b.world.c.Targets)
	j := b.rng.IntN(b.world.c.Targets - 1)
	if j >= i {
		j++
	}
	if b.own[host][j] < b.own[host][i] {
		return j
	}
	return i
}

// ideal is one queue for all targets, without distance: a call starts at a free
// slot at once or waits in the order of arrival. It refuses what waits too
// long, so that it shows the capacity too.
type ideal struct {
	world *world
	rng   *rand.Rand
	queue []*simCall
}

func (q *ideal) attach(w *world) {
	q.world = w
	q.rng = rand.New(rand.NewPCG(w.seed, 2))
}

func (q *ideal) arrive(c *simCall) {
	if len(q.queue) >= q.world.c.MaxQueue*q.world.c.Hosts {
		q.world.refuse(c, outcome.ReasonQueueFull)
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
			q.world.finish(c, class)
			q.serve()
		}})
	}
}

func (q *ideal) free() *simTarget {
	var found *simTarget
	n := 0
	for _, t := range q.world.targets {
		if t.busy >= q.world.c.Slots {
			continue
		}
		n++
		if q.rng.IntN(n) == 0 {
			found = t
		}
	}
	return found
}

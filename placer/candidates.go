package placer

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/placement"
)

// ranked is a target with what it costs by what is remembered.
type ranked struct {
	*target
	cost float64
}

// candidates are the targets that are probed for one choice: the cheapest few of this
// host's availability zone, and after them the cheapest few of others.
//
// A probe to another zone and its answer are bytes that are paid for, and so is the
// call itself, so that those of the own zone are probed first. As many of other zones can
// be probed then, so that a zone that is full has somewhere to send its calls, however many
// targets it has itself.
//
// The cheapest few are kept on the way through the list: sorting it takes three times as
// long (BenchmarkPickOf100Targets).
type candidates struct {
	list      [2 * placement.MaxProbes]ranked
	near, far int
	// coldSpent is how many targets were left out since they are cold and this host's part
	// of their calls is used up.
	coldSpent int
}

// first returns those of the own zone, all those of other zones, too.
func (c *candidates) first() []ranked { return c.list[:c.near] }
func (c *candidates) all() []ranked   { return c.list[:c.near+c.far] }

// add takes in a target if it is one of the cheapest of its kind.
func (c *candidates) add(r ranked, width int) {
	if r.figures.OtherZone {
		c.far = insert(c.list[placement.MaxProbes:placement.MaxProbes+width], c.far, r)
		return
	}
	c.near = insert(c.list[:width], c.near, r)
}

// join puts the targets of other zones right behind those of the own one.
func (c *candidates) join() {
	copy(c.list[c.near:], c.list[placement.MaxProbes:placement.MaxProbes+c.far])
}

// insert puts a target in its place among the n cheapest, of which as many are kept as
// there is room for, and returns how many there are then.
func insert(best []ranked, n int, r ranked) int {
	if n == len(best) && r.cost >= best[n-1].cost {
		return n
	}
	if n < len(best) {
		n++
	}
	i := n - 1
	for ; i > 0 && best[i-1].cost > r.cost; i-- {
		best[i] = best[i-1]
	}
	best[i] = r
	return n
}

// tieBreak is the most by which chance moves a cost: it keeps hosts from preferring the
// same of many equals.
const tieBreak = 0.1

// candidates returns the targets that may take a call. Blind is set while the host may not
// probe. The lock is held.
func (s *service) candidates(now time.Time, req pick.Request, width int, blind bool) (c candidates) {
	way := placement.TransferCost(req.Bytes)
	for _, t := range s.list {
		if !t.open(now) || slices.Contains(req.Avoid, t.info.ID) || !s.regions.Allow(t.info.Zone, req.Regions) {
			continue
		}
		if req.Alone && t.figures.InFlight > 0 {
			continue
		}
		// One of which it is not certain is probed, if that may be: it may say that it is warm.
		if (blind || t.cold.Confirmed() && t.cold.Cold(now)) && s.spent(now, t) {
			c.coldSpent++
			continue
		}
		t.figures.Cold = t.cold.Cold(now)
		t.figures.Baseline = *s.usual(t)
		c.add(ranked{t, t.figures.Cost(now, way) + s.rng.Float64()*tieBreak}, width)
	}
	c.join()
	return c
}

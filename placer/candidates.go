package placer

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/placement"
)

// ranked is a target with its estimated cost before probing.
type ranked struct {
	*target
	cost float64
}

// candidates are the targets to probe for one choice: the cheapest few in this host's
// availability zone, followed by the cheapest few in other zones.
//
// Probes and calls to another zone cost cross-zone traffic, so targets in the own zone are
// probed first. As many targets of other zones can be probed afterwards, so that a full zone
// can send its calls elsewhere regardless of how many targets it has itself.
//
// The cheapest few are selected in one pass by insertion: sorting the whole list takes three
// times as long (BenchmarkPickOf100Targets).
type candidates struct {
	// busy counts the targets left out because the request needs one to itself.
	busy      int
	list      [2 * placement.MaxProbes]ranked
	near, far int
	// coldOverQuota is the number of targets that were skipped because they are cold and this
	// host's quota of calls to them is used up.
	coldOverQuota int
}

// sameZone returns the candidates in this host's zone; all returns those in every zone.
func (c *candidates) sameZone() []ranked { return c.list[:c.near] }
func (c *candidates) all() []ranked      { return c.list[:c.near+c.far] }

// add inserts a target if it is among the cheapest width targets of its zone group.
func (c *candidates) add(r ranked, width int) {
	if r.figures.OtherZone {
		c.far = insert(c.list[placement.MaxProbes:placement.MaxProbes+width], c.far, r)
		return
	}
	c.near = insert(c.list[:width], c.near, r)
}

// compact moves the targets of other zones directly behind those of the own zone.
func (c *candidates) compact() {
	copy(c.list[c.near:], c.list[placement.MaxProbes:placement.MaxProbes+c.far])
}

// insert inserts r into the n cheapest targets at the start of best, which is sorted by cost.
// At most len(best) are kept. It returns the new count.
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

// maxTieBreak is the upper bound of the random cost added to each target. It keeps hosts from
// all preferring the same one of several equal targets.
const maxTieBreak = 0.1

// candidates returns the targets that may take a call. probesExhausted is set while the host
// can hardly probe. The caller holds the lock.
func (s *service) candidates(now time.Time, req pick.Request, width int, probesExhausted bool) (c candidates) {
	zoneCost := placement.TransferCost(req.Bytes)
	for _, t := range s.list {
		if !t.available(now) || slices.Contains(req.Avoid, t.info.ID) || !s.regions.Allow(t.info.Zone, req.Regions) {
			continue
		}
		if req.Exclusive && t.figures.InFlight > 0 {
			c.busy++
			continue
		}
		// A target that is only presumed cold is still probed while probes are available: its
		// answer may show that it is warm.
		if (probesExhausted || t.cold.Confirmed() && t.cold.Cold(now)) && s.overColdQuota(now, t) {
			c.coldOverQuota++
			continue
		}
		t.figures.Cold = t.cold.Cold(now)
		t.figures.Baseline = *s.zoneAverages(t)
		c.add(ranked{t, t.figures.Cost(now, zoneCost) + s.rng.Float64()*maxTieBreak}, width)
	}
	c.compact()
	return c
}

package placer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/placement"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// service is one service as this host sees it.
type service struct {
	key   blackboard.ServiceKey
	zone  string
	board *blackboard.Board
	// regions are those of the availability zones.
	regions Regions

	mu      sync.Mutex
	rng     *rand.Rand
	seen    uint64 // version of the board's targets that was taken in
	any     bool
	targets map[ports.HostID]*target
	list    []*target // the same, for choices, in the order of shown
	// shown is the board's list that was taken in, at the places of list in it.
	shown []blackboard.Target
	at    []int
	// subset is the part of the service that this host chooses among, whole is set if it is
	// all.
	subset placement.Subset
	whole  bool
	limits coldLimits
	// evacuated is how many of them are in zones that are to be empty.
	evacuated int
	failures  health.Service
	// near and far are what targets of the own zone and of others told of late.
	near, far placement.Baseline
	// nearProbes and farProbes are how long targets that tell nothing take to answer.
	nearProbes, farProbes placement.ProbeTimes
	// silent counts answers to probes that told nothing of the load, up to silentFrom,
	// and is 0 again once one did.
	silent int
	// work is the learned time of one call at an idle target at its usual pace.
	work time.Duration
}

// refresh takes in the configuration and the platform's list, and reports whether the list
// changed. The lock is held.
func (s *service) refresh(now time.Time) bool {
	s.limits = limitsOf(s.board, s.key.Service)
	version := s.board.Targets.Version()
	if s.any && version == s.seen {
		return false
	}
	list := s.board.Targets.Load().ByService[s.key]
	changed := !s.any || !sameSlice(list, s.shown)
	s.seen, s.any = version, true
	if changed {
		s.merge(now, list)
	}
	return changed
}

// sameSlice reports whether two slices are one and the same. Lists on the board are never
// written to, so they are equal then.
func sameSlice(a, b []blackboard.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// merge takes in a list. What is known of the targets whose entries have not changed stays as it
// is: one change among thousands of targets costs a look at each. The lock is held.
func (s *service) merge(now time.Time, list []blackboard.Target) {
	s.fit(list)
	before, at, old := s.shown, s.at, s.list
	s.list, s.at = make([]*target, 0, len(old)), make([]int, 0, len(old))
	s.evacuated = 0
	for i := range list {
		info := &list[i]
		if !s.subset.Contains(string(info.ID), info.Zone != s.zone) {
			continue
		}
		for len(at) > 0 && before[at[0]].ID < info.ID {
			s.forget(old[0])
			at, old = at[1:], old[1:]
		}
		var t *target
		same := false
		if len(at) > 0 && before[at[0]].ID == info.ID {
			t, same = old[0], before[at[0]] == *info
			at, old = at[1:], old[1:]
		}
		if !same {
			t = s.renewed(now, t, *info)
		}
		if info.Evacuated {
			s.evacuated++
		}
		s.list, s.at = append(s.list, t), append(s.at, i)
	}
	for _, t := range old {
		s.forget(t)
	}
	s.shown = list
}

// fit sets how many of a list's targets this host chooses among. The lock is held.
//
// Cold targets have owners among the hosts, which must not pass them over.
func (s *service) fit(list []blackboard.Target) {
	if s.whole || s.limits.bounded() {
		s.subset.IncludeAll()
		return
	}
	near := 0
	for i := range list {
		if list[i].Zone == s.zone {
			near++
		}
	}
	s.subset.Resize(near, len(list)-near)
}

// widen has the host choose among all targets from now on, if it does not yet: none of those that
// it chose among takes calls. It reports whether that made a difference. The lock is held.
func (s *service) widen(now time.Time) bool {
	if s.whole || len(s.list) == len(s.shown) {
		return false
	}
	s.whole = true
	s.merge(now, s.shown)
	return true
}

// renewed returns the target that an entry names: the one that is known, or another if it is not
// or has started anew. The lock is held.
func (s *service) renewed(now time.Time, t *target, info blackboard.Target) *target {
	if t == nil || info.Incarnation.Replaces(t.info.Incarnation) {
		t = newTarget(info, s.zone)
		t.presumeCold(now, blackboard.Target{}, info, s.limits)
		s.targets[info.ID] = t
		return t
	}
	t.presumeCold(now, t.info, info, s.limits)
	t.update(info, s.zone)
	return t
}

// forget drops a target that is no longer chosen among. The lock is held.
func (s *service) forget(t *target) {
	if s.targets[t.info.ID] == t {
		delete(s.targets, t.info.ID)
	}
}

// holds reports whether what a call or a probe to a target shows still says something:
// the target is listed, and has not started anew since. The lock is held.
//
// Errors and times of calls of a former run say nothing of the next. The new run is another
// *target, so that comparing the two is enough.
func (s *service) holds(t *target) bool { return s.targets[t.info.ID] == t }

// usual is what stands for a target that told nothing for a while.
func (s *service) usual(t *target) *placement.Baseline {
	if t.figures.OtherZone {
		return &s.far
	}
	return &s.near
}

// told takes in what a target says of itself. The lock is held.
func (s *service) told(now time.Time, t *target, l targetapi.Load) {
	s.silent = 0
	t.figures.ObserveLoad(now, l)
	s.usual(t).Observe(l, t.figures.OtherCalls, t.figures.Slots)
}

// silentFrom is how many answers to probes that told no load it takes for a service to
// count as one whose targets tell nothing.
const silentFrom = 8

// isSilent reports whether the targets of the service tell nothing of their load. The lock
// is held.
func (s *service) isSilent() bool { return s.silent >= silentFrom }

// answeredSilently takes in that a target answered a probe and told nothing of its load.
// The lock is held.
func (s *service) answeredSilently(now time.Time, t *target, took time.Duration) {
	s.silent = min(s.silent+1, silentFrom)
	times := &s.nearProbes
	if t.figures.OtherZone {
		times = &s.farProbes
	}
	times.Observe(took)
	l := t.figures.ObserveProbe(now, took, times.Typical())
	s.usual(t).Observe(l, t.figures.OtherCalls, t.figures.Slots)
}

// best returns the cheapest of some targets that can queue one more call, or nil: of
// those that told something of late, and only if there is none, of the others. The
// lock is held.
//
// A target that let a probe wait is slow or full, and by what is usual it would look cheaper than
// those that told the truth.
func (s *service) best(now time.Time, way float64, list []ranked) (*target, float64) {
	var found *target
	least := 0.0
	for _, r := range list {
		if !r.open(now) || r.figures.Full(now) || s.spent(now, r.target) {
			continue
		}
		cost := r.figures.Cost(now, way)
		if found == nil || better(r.known(now), found.known(now), cost, least) {
			found, least = r.target, cost
		}
	}
	return found, least
}

// better compares a target with the best so far: first by whether it told anything of
// late, then by cost.
func better(known, bestKnown bool, cost, least float64) bool {
	if known != bestKnown {
		return known
	}
	return cost < least
}

// describe says what a refusal rests on: how many targets there are, how many take
// calls and could queue one more, the cheapest of these, and how long a call takes.
func (s *service) describe() string {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var room []ranked
	open, cold := 0, 0
	oldest := time.Duration(0)
	for _, t := range s.targets {
		if !t.open(now) {
			continue
		}
		open++
		if s.limited(now, t) {
			cold++
		}
		oldest = max(oldest, t.figures.Age(now))
		room = append(room, ranked{target: t})
	}
	cheapest := "none"
	if t, cost := s.best(now, placement.TransferCost(0), room); t != nil {
		cheapest = strconv.FormatFloat(cost, 'f', 2, 64)
	}
	return fmt.Sprintf("targets=%d open=%d evacuated=%d cold=%d cheapest=%s work=%s oldest_figure=%s list=%d",
		len(s.targets), open, s.evacuated, cold, cheapest, s.work.Round(time.Millisecond), oldest.Round(time.Millisecond), s.seen)
}

// whyNone returns why there is no target to choose from.
func (s *service) whyNone(c candidates) outcome.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.list) > 0 && s.evacuated == len(s.list):
		return outcome.ReasonEvacuated
	case c.coldSpent > 0:
		return outcome.ReasonOverload
	default:
		return outcome.ReasonNoTarget
	}
}

// mayWait is how often a choice may wait for a better target.
func (s *service) mayWait() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placement.MaxWaits(s.work)
}

// workWeight is the weight of one answer in the learned work time.
const workWeight = 0.05

// learn takes in how long an answer took that was reckoned to take so many usual work
// times.
func (s *service) learn(took time.Duration, takes float64) {
	unit := time.Duration(float64(took) / max(takes, 0.5))
	if s.work == 0 {
		s.work = unit
		return
	}
	s.work += time.Duration(workWeight * float64(unit-s.work))
}

// record takes in whether a call failed at a target, and leaves the target out
// if it fails more than the others.
func (s *service) record(now time.Time, t *target, failed bool) bool {
	s.failures.Record(failed)
	if !t.health.Record(now, failed, &s.failures) {
		return false
	}
	ejected := 0
	for _, other := range s.targets {
		if other.health.Ejected(now) {
			ejected++
		}
	}
	if !health.MayEject(ejected, len(s.targets)) {
		return false
	}
	t.health.Eject(now, s.rng)
	return true
}

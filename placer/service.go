package placer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/placement"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// service is the state that this host keeps for one service.
type service struct {
	key   blackboard.ServiceKey
	zone  string
	board *blackboard.Board
	// regions maps availability zones to their regions.
	regions Regions

	mu             sync.Mutex
	rng            *rand.Rand
	targetsVersion uint64 // version of the board's targets at the last refresh
	initialized    bool   // set after the first refresh
	targets        map[ports.HostID]*target
	list           []*target // the values of targets, in the order of listed
	// listed is the board's list at the last refresh, and indexes[i] the index of list[i] in
	// it.
	listed  []blackboard.Target
	indexes []int
	// subset is the part of the service's targets that this host chooses from; with useAll it
	// chooses from all of them.
	subset placement.Subset
	useAll bool
	limits coldLimits
	// view is the list of hosts that share the calls to cold targets.
	view *coldstart.View
	// keptQuotas holds the quotas of targets that are not listed and that count still.
	keptQuotas map[ports.RunID]coldQuota
	// evacuated is the number of targets in list that are in evacuated zones.
	evacuated int
	// noneReachedSince is when the last target that this host reached was lost; zero while it
	// reaches any.
	noneReachedSince time.Time
	failures         health.Service
	// near and far are moving averages of the load reports of targets in the own zone and in
	// other zones.
	near, far placement.Baseline
	// nearProbeTimes and farProbeTimes are the usual probe response times of targets that do
	// not report their load.
	nearProbeTimes, farProbeTimes placement.ProbeTimes
	// loadlessProbes counts consecutive probe responses without a load report, up to
	// loadlessThreshold. A load report resets it.
	loadlessProbes int
	// workTime is the learned duration of one call at an idle target of normal speed.
	workTime time.Duration
}

// refresh reads the configuration and the target list from the board, and reports whether the
// list changed. The caller holds the lock.
func (s *service) refresh(now time.Time) bool {
	s.limits = coldLimitsOf(s.board, s.key.Service)
	version := s.board.Targets.Version()
	if s.initialized && version == s.targetsVersion {
		return false
	}
	list := s.board.Targets.Load().ByService[s.key]
	changed := !s.initialized || !sameSlice(list, s.listed)
	s.targetsVersion, s.initialized = version, true
	if changed {
		s.merge(now, list)
	}
	return changed
}

// sameSlice reports whether two slices share their elements. Lists on the board are immutable,
// so shared elements mean equal lists.
func sameSlice(a, b []blackboard.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// merge applies a new target list. Targets whose entries are unchanged keep their state
// untouched, so that one change among thousands of targets costs one comparison each. The
// caller holds the lock.
func (s *service) merge(now time.Time, list []blackboard.Target) {
	s.fitSubset(list)
	before, at, old := s.listed, s.indexes, s.list
	s.list, s.indexes = make([]*target, 0, len(old)), make([]int, 0, len(old))
	s.evacuated = 0
	for i := range list {
		info := &list[i]
		if !s.subset.Contains(string(info.ID), info.Zone != s.zone) {
			continue
		}
		for len(at) > 0 && before[at[0]].ID < info.ID {
			s.remove(now, old[0])
			at, old = at[1:], old[1:]
		}
		var t *target
		same := false
		if len(at) > 0 && before[at[0]].ID == info.ID {
			t, same = old[0], before[at[0]] == *info
			at, old = at[1:], old[1:]
		}
		if !same {
			t = s.targetFor(now, t, *info)
		}
		if info.Evacuated {
			s.evacuated++
		}
		s.list, s.indexes = append(s.list, t), append(s.indexes, i)
	}
	for _, t := range old {
		s.remove(now, t)
	}
	s.dropKeptQuotas(now)
	s.listed = list
}

// fitSubset sizes the subset for a target list. The caller holds the lock.
//
// Services with limits for cold targets use all targets: each host holds a quota for particular
// cold targets and must not skip them.
func (s *service) fitSubset(list []blackboard.Target) {
	if s.useAll || s.limits.bounded() {
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

// widen makes the host choose from all targets from now on, because none of its subset takes
// calls. It reports whether that added any target. The caller holds the lock.
func (s *service) widen(now time.Time) bool {
	if s.useAll || len(s.list) == len(s.listed) {
		return false
	}
	s.useAll = true
	s.merge(now, s.listed)
	return true
}

// targetFor returns the state for a list entry: the updated existing state, or a new one if the
// target is new or has restarted. The caller holds the lock.
func (s *service) targetFor(now time.Time, t *target, info blackboard.Target) *target {
	if t == nil || info.Incarnation.Replaces(t.info.Incarnation) {
		t = newTarget(info, s.zone)
		t.quota = s.restoreQuota(info.RunID())
		t.presumeCold(now, blackboard.Target{}, info, s.limits)
		s.targets[info.ID] = t
		return t
	}
	t.presumeCold(now, t.info, info, s.limits)
	t.update(info, s.zone)
	return t
}

// remove drops the state of a target that is no longer listed or in the subset. The caller
// holds the lock.
func (s *service) remove(now time.Time, t *target) {
	if s.targets[t.info.ID] == t {
		delete(s.targets, t.info.ID)
		s.keepQuota(now, t)
	}
}

// isCurrent reports whether t is the current state of a listed target, so that the result of a
// call or probe sent to it still applies. The caller holds the lock.
//
// Errors and latencies of a former run say nothing about the next. A restarted target gets a
// new *target, so comparing pointers suffices.
func (s *service) isCurrent(t *target) bool { return s.targets[t.info.ID] == t }

// zoneAverages returns the averages used in place of a target's own load report when that is
// too old.
func (s *service) zoneAverages(t *target) *placement.Baseline {
	if t.figures.OtherZone {
		return &s.far
	}
	return &s.near
}

// recordLoad records a load report of a target. The caller holds the lock.
func (s *service) recordLoad(now time.Time, t *target, l targetapi.Load) {
	s.loadlessProbes = 0
	t.figures.ObserveLoad(now, l)
	s.zoneAverages(t).Observe(l, t.figures.OtherCalls, t.figures.Slots)
}

// loadlessThreshold is the number of consecutive probe responses without a load report after
// which a service counts as one whose targets do not report their load.
const loadlessThreshold = 8

// reportsNoLoad reports whether the targets of the service do not report their load. The caller
// holds the lock.
func (s *service) reportsNoLoad() bool { return s.loadlessProbes >= loadlessThreshold }

// recordLoadlessProbe records a probe response without a load report; the target's load is
// estimated from the response time. The caller holds the lock.
func (s *service) recordLoadlessProbe(now time.Time, t *target, took time.Duration) {
	s.loadlessProbes = min(s.loadlessProbes+1, loadlessThreshold)
	times := &s.nearProbeTimes
	if t.figures.OtherZone {
		times = &s.farProbeTimes
	}
	times.Observe(took)
	l := t.figures.ObserveProbe(now, took, times.Typical())
	s.zoneAverages(t).Observe(l, t.figures.OtherCalls, t.figures.Slots)
}

// best returns the cheapest target of a list that can queue one more call, and its cost, or
// nil. Targets with a recent load report and no outstanding probe take precedence. The caller
// holds the lock.
//
// A target that has not answered its probe yet is slow or full, but by the zone averages it
// could look cheaper than targets that reported a high load.
func (s *service) best(now time.Time, zoneCost float64, list []ranked) (*target, float64) {
	var found *target
	least := 0.0
	for _, r := range list {
		if !r.available(now) || r.figures.Full(now) || s.overColdQuota(now, r.target) {
			continue
		}
		cost := r.figures.Cost(now, zoneCost)
		if found == nil || preferable(r.loadKnown(now), found.loadKnown(now), cost, least) {
			found, least = r.target, cost
		}
	}
	return found, least
}

// preferable reports whether a target is better than the best one so far: first by whether its
// load is known, then by cost.
func preferable(known, bestKnown bool, cost, least float64) bool {
	if known != bestKnown {
		return known
	}
	return cost < least
}

// describe returns the state of the service for the log line of a refusal: how many targets
// there are, how many are available and cold, how many are not for which reason, how many of the
// available ones never told their load, the cost of the cheapest one that can queue a call, the
// work time and the age of the oldest load report.
func (s *service) describe() string {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var room []ranked
	open, cold, ejected, leaving, silent := 0, 0, 0, 0, 0
	oldest := time.Duration(0)
	for _, t := range s.targets {
		if t.health.Ejected(now) {
			ejected++
		}
		if t.info.Leaving {
			leaving++
		}
		if !t.available(now) {
			continue
		}
		open++
		if !t.figures.Known(now) {
			silent++
		}
		if s.coldLimited(now, t) {
			cold++
		}
		oldest = max(oldest, t.figures.Age(now))
		room = append(room, ranked{target: t})
	}
	cheapest := "none"
	if t, cost := s.best(now, placement.TransferCost(0), room); t != nil {
		cheapest = strconv.FormatFloat(cost, 'f', 2, 64)
	}
	return fmt.Sprintf("targets=%d open=%d unreachable=%d ejected=%d leaving=%d silent=%d evacuated=%d cold=%d cheapest=%s work=%s oldest_figure=%s list=%d",
		len(s.targets), open, s.unreachable(), ejected, leaving, silent, s.evacuated, cold, cheapest, s.workTime.Round(time.Millisecond), oldest.Round(time.Millisecond), s.targetsVersion)
}

// refusalReason returns why there are no candidates.
func (s *service) refusalReason(c candidates) outcome.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.list) > 0 && s.evacuated == len(s.list):
		return outcome.ReasonEvacuated
	case c.coldOverQuota > 0:
		return outcome.ReasonOverload
	default:
		return outcome.ReasonNoTarget
	}
}

// maxWaits returns how often one choice may wait for a better target.
func (s *service) maxWaits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placement.MaxWaits(s.workTime)
}

// workTimeWeight is the weight of one sample in the moving average of the work time.
const workTimeWeight = 0.05

// recordWorkTime updates the work time with the latency of a call that was expected to take
// expectedWork work times.
func (s *service) recordWorkTime(took time.Duration, expectedWork float64) {
	unit := time.Duration(float64(took) / max(expectedWork, 0.5))
	if s.workTime == 0 {
		s.workTime = unit
		return
	}
	s.workTime += time.Duration(workTimeWeight * float64(unit-s.workTime))
}

// recordOutcome records whether a call failed at a target, and ejects the target if its failure
// rate stands out. It reports whether it did. The caller holds the lock.
func (s *service) recordOutcome(now time.Time, t *target, failed bool) bool {
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

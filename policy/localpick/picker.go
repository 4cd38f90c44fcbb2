// Package localpick chooses targets from what one entry host observes itself: its own attempts in
// flight, the load that targets report in their responses, and overdue notices from other hosts.
// It is the fallback while no coordinator answers.
//
// A Picker compares all targets of a service for every attempt and takes the one with the lowest
// score, which is the estimated number of attempts there plus penalties.
package localpick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/policy/latency"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// loadTTL is the age at which a reported load has lost all weight. Beyond it the mean load of
	// all targets is the better estimate.
	loadTTL = 25 * time.Millisecond
	// overdueTTL is how long a notice of an overdue attempt counts against its target.
	overdueTTL = 50 * time.Millisecond
	// overdueFactor times the median latency makes an attempt overdue.
	overdueFactor = 6
	minOverdue    = 2 * time.Millisecond
	minSamples    = 20

	overduePenalty   = 3.0
	coldPenalty      = 2.0
	otherZonePenalty = 0.1 // prefers the host's availability zone among equals
	// inFlightWeight counts an attempt of this host for more than a reported one: it is certain,
	// while the report is stale.
	inFlightWeight = 1.5
)

// target is what this host knows of a target.
type target struct {
	// The fields that every Pick reads come first, to share one cache line.
	available    bool // neither leaving nor running an exclusive attempt
	impaired     bool // ejected or on trial
	otherZone    bool // in another availability zone
	inFlight     int  // this host's attempts in flight
	load         float64
	loadAt       instant.Time // when load was reported; load excludes this host's attempts
	overdueUntil instant.Time // when the last overdue notice expires
	// Until backoffUntil the target gets no more than backoffLimit attempts of this host, because
	// it refused one.
	backoffUntil instant.Time
	backoffLimit int
	coldUntil    instant.Time // end of the cold start

	info      blackboard.Target
	exclusive bool
	health    health.State
	refusals  health.Refusals
}

func (t *target) updateAvailable() { t.available = !t.info.Leaving && !t.exclusive }

// Picker chooses targets for one service. It is not safe for concurrent use.
type Picker struct {
	rng       *rand.Rand
	clock     instant.Clock
	slots     int
	coldStart time.Duration
	zone      string
	targets   []target
	usable    int
	meanLoad  float64 // running mean of reported loads
	latencies latency.Tracker
	failures  health.Service
}

// New returns a Picker without targets.
func New(rng *rand.Rand) *Picker { return &Picker{rng: rng, slots: 1} }

// Configure sets the number of slots of a target and the length of a cold start.
func (l *Picker) Configure(slots int, coldStart time.Duration) {
	l.slots = max(slots, 1)
	l.coldStart = coldStart
}

// SetZone sets the availability zone of this host.
func (l *Picker) SetZone(zone string) { l.zone = zone }

// SetTargets replaces the list of targets. State of targets that stay listed is kept.
func (l *Picker) SetTargets(list []blackboard.Target) {
	next := make([]target, len(list))
	l.usable = 0
	for i, info := range list {
		if j := l.index(info.ID); j >= 0 {
			next[i] = l.targets[j]
			info.Leaving = info.Leaving || l.targets[j].info.Leaving
		}
		next[i].info = info
		next[i].otherZone = info.Zone != l.zone
		next[i].coldUntil = l.clock.At(info.FirstSeen).Add(l.coldStart)
		next[i].updateAvailable()
		if !info.Leaving {
			l.usable++
		}
	}
	l.targets = next
}

func (l *Picker) index(id ports.HostID) int {
	return slices.IndexFunc(l.targets, func(t target) bool { return t.info.ID == id })
}

// Find returns a target, and false if it is unknown or leaving.
func (l *Picker) Find(id ports.HostID) (blackboard.Target, bool) {
	i := l.index(id)
	if i < 0 {
		return blackboard.Target{}, false
	}
	return l.targets[i].info, !l.targets[i].info.Leaving
}

// Usable returns the number of targets that are not leaving.
func (l *Picker) Usable() int { return l.usable }

// Latency returns the tracker of the service's latency.
func (l *Picker) Latency() *latency.Tracker { return &l.latencies }

// Pick returns the target for one attempt. It returns false if no target may take another attempt
// from this host now.
func (l *Picker) Pick(now time.Time, avoid []ports.HostID, hedge, exclusive bool) (blackboard.Target, bool) {
	n := len(l.targets)
	if n == 0 {
		return blackboard.Target{}, false
	}
	at := l.clock.At(now)
	limit := l.slots
	if hedge || exclusive {
		limit = 1
	}
	strict := hedge || (len(avoid) > 0 && l.hasAlternative(now, avoid))
	best := -1
	bestScore := 0.0
	i := l.rng.IntN(n) // random start, so that hosts don't all prefer the first of equals
	for range n {
		t := &l.targets[i]
		if t.available && t.inFlight < t.limit(at, limit) {
			score := l.score(at, t)
			if (best < 0 || score < bestScore) && l.eligible(now, t, strict, avoid) {
				best, bestScore = i, score
			}
		}
		if i++; i == n {
			i = 0
		}
	}
	if best < 0 {
		return blackboard.Target{}, false
	}
	return l.targets[best].info, true
}

// limit returns how many attempts of this host the target may hold, at most slots.
func (t *target) limit(now instant.Time, slots int) int {
	if now < t.backoffUntil {
		return min(slots, t.backoffLimit)
	}
	return slots
}

// eligible reports whether a target with a free slot may be used.
func (l *Picker) eligible(now time.Time, t *target, strict bool, avoid []ports.HostID) bool {
	if t.impaired {
		if t.health.Ejected(now) || (t.health.OnTrial() && t.inFlight > 0) {
			return false
		}
	}
	return !strict || !slices.Contains(avoid, t.info.ID)
}

func (l *Picker) score(now instant.Time, t *target) float64 {
	s := float64(t.inFlight)*inFlightWeight + l.otherLoad(now, t)
	if t.otherZone {
		s += otherZonePenalty
	}
	if now < t.overdueUntil {
		s += overduePenalty
	}
	if now < t.coldUntil {
		s += coldPenalty * float64(t.coldUntil.Sub(now)) / float64(l.coldStart)
	}
	return s
}

// otherLoad estimates the load of other hosts on a target: the reported load, which decays
// linearly to the mean load of all targets as the report ages.
func (l *Picker) otherLoad(now instant.Time, t *target) float64 {
	age := now.Sub(t.loadAt)
	if age >= loadTTL {
		return l.meanLoad
	}
	weight := 1 - float64(age)*(1/float64(loadTTL))
	return l.meanLoad + weight*(t.load-l.meanLoad)
}

func (l *Picker) hasAlternative(now time.Time, avoid []ports.HostID) bool {
	for i := range l.targets {
		t := &l.targets[i]
		if !t.info.Leaving && !t.health.Ejected(now) && !slices.Contains(avoid, t.info.ID) {
			return true
		}
	}
	return false
}

// Start records an attempt in flight, whoever chose its target.
func (l *Picker) Start(id ports.HostID, exclusive bool) {
	if i := l.index(id); i >= 0 {
		l.targets[i].inFlight++
		l.targets[i].exclusive = l.targets[i].exclusive || exclusive
		l.targets[i].updateAvailable()
	}
}

// End records the result of an attempt; unused means that it was never sent.
func (l *Picker) End(now time.Time, id ports.HostID, exclusive, unused bool, r pick.Report) {
	i := l.index(id)
	if i < 0 {
		return
	}
	t := &l.targets[i]
	t.inFlight = max(t.inFlight-1, 0)
	if exclusive {
		t.exclusive = false
		t.updateAvailable()
	}
	if unused {
		return
	}
	l.observe(now, t, r)
}

func (l *Picker) observe(now time.Time, t *target, r pick.Report) {
	if r.LeavingHint || r.Class == pick.Leaving {
		l.markLeaving(t)
	}
	if r.Load >= 0 {
		t.load = float64(max(r.Load-t.inFlight, 0))
		t.loadAt = l.clock.At(now)
		l.meanLoad += (t.load - l.meanLoad) / 32
	}
	switch r.Class {
	case pick.OK:
		t.refusals.Answered()
		l.latencies.Observe(r.Latency)
		l.recordResult(now, t, false)
	case pick.Failed, pick.TimedOut:
		l.recordResult(now, t, true)
	case pick.BrokeOff, pick.Foreign, pick.NotSent:
		l.recordResult(now, t, true)
		l.backOff(now, t)
	case pick.Shed:
		l.backOff(now, t)
	}
}

// backOff caps the attempts of this host on a target at those in flight now, for a while.
func (l *Picker) backOff(now time.Time, t *target) {
	t.backoffUntil = l.clock.At(now).Add(t.refusals.Refused())
	t.backoffLimit = t.inFlight
}

func (l *Picker) markLeaving(t *target) {
	if !t.info.Leaving {
		t.info.Leaving = true
		t.updateAvailable()
		l.usable--
	}
}

func (l *Picker) recordResult(now time.Time, t *target, failed bool) {
	l.failures.Record(failed)
	t.impaired = t.health.Ejected(now) || t.health.OnTrial()
	if !t.health.Record(now, failed, &l.failures) {
		return
	}
	ejected := 0
	for i := range l.targets {
		if l.targets[i].health.Ejected(now) {
			ejected++
		}
	}
	if health.MayEject(ejected, len(l.targets)) {
		t.health.Eject(now, l.rng)
		t.impaired = true
	}
}

// MarkOverdue records that an attempt of this or another host is overdue at a target.
func (l *Picker) MarkOverdue(now time.Time, id ports.HostID) {
	if i := l.index(id); i >= 0 {
		l.targets[i].overdueUntil = l.clock.At(now).Add(overdueTTL)
	}
}

// OverdueAfter returns the age at which an attempt is overdue, or 0 if too few latencies are
// known.
func (l *Picker) OverdueAfter() time.Duration {
	if l.latencies.Count() < minSamples {
		return 0
	}
	return max(overdueFactor*l.latencies.Median(), minOverdue)
}

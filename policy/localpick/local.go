// Package choice is the choice of target by what one entry host sees itself:
// its own attempts in flight, the load that targets report in their answers,
// and notices of overdue attempts from other hosts. It serves while no
// coordinator does.
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
	// reportFor is how long a reported load is believed, less and less; after it
	// the usual load of all targets is the better guess.
	reportFor = 25 * time.Millisecond
	// overdueFor is how long a notice of an overdue attempt holds.
	overdueFor = 50 * time.Millisecond
	// overdueTimes the median makes an attempt overdue.
	overdueTimes = 6
	minOverdue   = 2 * time.Millisecond
	minSamples   = 20

	scoreOverdue = 3.0
	scoreCold    = 2.0
	scoreFar     = 0.1 // among equals the target in the host's zone is nearer
	// ownWeight counts an own attempt as more than one of the reported: it is
	// certain and the report is stale.
	ownWeight = 1.5
)

// target is what this host knows of a target.
type target struct {
	// What every choice reads stands first, to fit into one cache line.
	open    bool // neither leaving nor kept for one attempt alone
	doubted bool // health has something to say
	far     bool // in another zone
	own     int  // own attempts in flight
	load    float64
	loadAt  instant.Time // when load was reported; own attempts are not in it
	overdue instant.Time // end of the last notice
	// restUntil is the end of the time in which the target gets no more than
	// restLimit own attempts, since it refused one.
	restUntil instant.Time
	restLimit int
	coldTo    instant.Time // end of the cold start

	info     blackboard.Target
	alone    bool
	health   health.State
	refusals health.Refusals
}

func (t *target) setOpen() { t.open = !t.info.Leaving && !t.alone }

// Local chooses for one service. It is not safe for concurrent use.
type Local struct {
	rng      *rand.Rand
	clock    instant.Clock
	slots    int
	cold     time.Duration
	zone     string
	targets  []target
	usable   int
	usual    float64 // running mean of reported loads
	service  latency.Tracker
	failures health.Service
}

// New returns a chooser without targets.
func New(rng *rand.Rand) *Local { return &Local{rng: rng, slots: 1} }

// Configure sets the slots of a target and the length of a cold start.
func (l *Local) Configure(slots int, cold time.Duration) {
	l.slots = max(slots, 1)
	l.cold = cold
}

// SetZone sets the availability zone of this host.
func (l *Local) SetZone(zone string) { l.zone = zone }

// SetTargets takes the view of the targets.
func (l *Local) SetTargets(list []blackboard.Target) {
	next := make([]target, len(list))
	l.usable = 0
	for i, info := range list {
		if j := l.index(info.ID); j >= 0 {
			next[i] = l.targets[j]
			info.Leaving = info.Leaving || l.targets[j].info.Leaving
		}
		next[i].info = info
		next[i].far = info.Zone != l.zone
		next[i].coldTo = l.clock.At(info.FirstSeen).Add(l.cold)
		next[i].setOpen()
		if !info.Leaving {
			l.usable++
		}
	}
	l.targets = next
}

func (l *Local) index(id ports.HostID) int {
	return slices.IndexFunc(l.targets, func(t target) bool { return t.info.ID == id })
}

// Find returns a target, and false if it is unknown or leaving.
func (l *Local) Find(id ports.HostID) (blackboard.Target, bool) {
	i := l.index(id)
	if i < 0 {
		return blackboard.Target{}, false
	}
	return l.targets[i].info, !l.targets[i].info.Leaving
}

// Usable returns the number of targets that are not leaving.
func (l *Local) Usable() int { return l.usable }

// Latency is what the host learned of the service's latency.
func (l *Local) Latency() *latency.Tracker { return &l.service }

// Pick returns the target for one attempt; false means that none may take one
// more from this host now.
func (l *Local) Pick(now time.Time, avoid []ports.HostID, hedge, alone bool) (blackboard.Target, bool) {
	n := len(l.targets)
	if n == 0 {
		return blackboard.Target{}, false
	}
	at := l.clock.At(now)
	limit := l.slots
	if hedge || alone {
		limit = 1
	}
	strict := hedge || (len(avoid) > 0 && l.others(now, avoid))
	best := -1
	bestScore := 0.0
	i := l.rng.IntN(n) // so that hosts do not all prefer the first of equals
	for range n {
		t := &l.targets[i]
		if t.open && t.own < t.limit(at, limit) {
			score := l.score(at, t)
			if (best < 0 || score < bestScore) && l.suits(now, t, strict, avoid) {
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

// limit is how many own attempts the target may hold, of at most most.
func (t *target) limit(now instant.Time, most int) int {
	if now < t.restUntil {
		return min(most, t.restLimit)
	}
	return most
}

// suits reports whether nothing speaks against a target with a slot free.
func (l *Local) suits(now time.Time, t *target, strict bool, avoid []ports.HostID) bool {
	if t.doubted {
		if t.health.Ejected(now) || (t.health.OnTrial() && t.own > 0) {
			return false
		}
	}
	return !strict || !slices.Contains(avoid, t.info.ID)
}

func (l *Local) score(now instant.Time, t *target) float64 {
	s := float64(t.own)*ownWeight + l.believed(now, t)
	if t.far {
		s += scoreFar
	}
	if now < t.overdue {
		s += scoreOverdue
	}
	if now < t.coldTo {
		s += scoreCold * float64(t.coldTo.Sub(now)) / float64(l.cold)
	}
	return s
}

// believed is the load of others to reckon with: the report while it is fresh,
// and less and less of it as it ages.
func (l *Local) believed(now instant.Time, t *target) float64 {
	age := now.Sub(t.loadAt)
	if age >= reportFor {
		return l.usual
	}
	trust := 1 - float64(age)*(1/float64(reportFor))
	return l.usual + trust*(t.load-l.usual)
}

func (l *Local) others(now time.Time, avoid []ports.HostID) bool {
	for i := range l.targets {
		t := &l.targets[i]
		if !t.info.Leaving && !t.health.Ejected(now) && !slices.Contains(avoid, t.info.ID) {
			return true
		}
	}
	return false
}

// Start notes an attempt in flight, whoever chose its target.
func (l *Local) Start(id ports.HostID, alone bool) {
	if i := l.index(id); i >= 0 {
		l.targets[i].own++
		l.targets[i].alone = l.targets[i].alone || alone
		l.targets[i].setOpen()
	}
}

// End notes how an attempt ended. unused means that it was never sent.
func (l *Local) End(now time.Time, id ports.HostID, alone, unused bool, r pick.Report) {
	i := l.index(id)
	if i < 0 {
		return
	}
	t := &l.targets[i]
	t.own = max(t.own-1, 0)
	if alone {
		t.alone = false
		t.setOpen()
	}
	if unused {
		return
	}
	l.learn(now, t, r)
}

func (l *Local) learn(now time.Time, t *target, r pick.Report) {
	if r.LeavingHint || r.Class == pick.Leaving {
		l.leave(t)
	}
	if r.Load >= 0 {
		t.load = float64(max(r.Load-t.own, 0))
		t.loadAt = l.clock.At(now)
		l.usual += (t.load - l.usual) / 32
	}
	switch r.Class {
	case pick.OK:
		t.refusals.Answered()
		l.service.Observe(r.Latency)
		l.record(now, t, false)
	case pick.Failed, pick.TimedOut:
		l.record(now, t, true)
	case pick.BrokeOff, pick.Foreign, pick.NotSent:
		l.record(now, t, true)
		l.rest(now, t)
	case pick.Shed:
		l.rest(now, t)
	}
}

// rest keeps more own attempts than now are in flight off a target for a while.
func (l *Local) rest(now time.Time, t *target) {
	t.restUntil = l.clock.At(now).Add(t.refusals.Refused())
	t.restLimit = t.own
}

func (l *Local) leave(t *target) {
	if !t.info.Leaving {
		t.info.Leaving = true
		t.setOpen()
		l.usable--
	}
}

func (l *Local) record(now time.Time, t *target, failed bool) {
	l.failures.Record(failed)
	t.doubted = t.health.Ejected(now) || t.health.OnTrial()
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
		t.doubted = true
	}
}

// Overdue notes that an attempt of this or another host is overdue.
func (l *Local) Overdue(now time.Time, id ports.HostID) {
	if i := l.index(id); i >= 0 {
		l.targets[i].overdue = l.clock.At(now).Add(overdueFor)
	}
}

// OverdueAfter is the age at which an attempt is overdue, 0 if not known.
func (l *Local) OverdueAfter() time.Duration {
	if l.service.Count() < minSamples {
		return 0
	}
	return max(overdueTimes*l.service.Median(), minOverdue)
}

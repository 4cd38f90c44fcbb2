package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
	"github.com/cactusproxy/cactusproxy/policy/placement"
)

const (
	// signTTL is how long a host reports after the last sign that a service is short of room.
	signTTL = 3 * time.Second
	// usualWeight is the weight of one response in the moving average of response times.
	usualWeight = 0.05
)

// service is what this host knows of one service.
type service struct {
	key blackboard.ServiceKey

	mu  sync.Mutex
	rng *rand.Rand
	// demand and seen are what this host saw since its last report.
	demand policy.Demand
	seen   policy.Observed
	// level is in force since levelAt.
	level   policy.Level
	levelAt time.Time
	// signAt is when this host last saw a sign that the service is short of room.
	signAt time.Time
	// usual is the moving average of the targets' response times; 0 before the first response.
	usual time.Duration
	// reportsLoad is set if the target of the last grant reports its load.
	reportsLoad bool
	// reporting is set while a report is under way.
	reporting bool
	// usedAt is when the last request was decided on.
	usedAt time.Time
}

// decide counts a request and decides on it.
func (s *service) decide(now time.Time, r policy.Request) policy.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = now
	r.Usual, r.Age = s.usual, now.Sub(s.levelAt)
	if !r.Hopeless() {
		s.demand.Add(r.Key, 1)
	}
	return s.level.Decide(r, s.rng.Float64(), s.rng.Float64())
}

// limited reports whether a level limits the service.
func (s *service) limited(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.level.InForce(now.Sub(s.levelAt))
}

// recordGrant counts an attempt that found a target, also one for a call beyond its share. One that
// had to wait for a target is a sign that the service is short of room.
func (s *service) recordGrant(now time.Time, g pick.Grant) {
	basis := basisOf(g)
	waited := basis.Waited >= placement.WaitInterval
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Admitted++
	s.reportsLoad = !basis.LoadUnreported
	if waited {
		s.signAt = now
	}
}

// loadReported reports whether the service's targets report their load.
func (s *service) loadReported() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportsLoad
}

// recordNoRoom counts an attempt that found no target with room. One that came too late to be
// answered in time even by an idle target says nothing about room.
func (s *service) recordNoRoom(now time.Time, req pick.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Objective > 0 && timeLeft(now, req) < s.usual {
		return
	}
	s.seen.Admitted++
	s.seen.NoRoom++
	s.signAt = now
}

// recordEnd counts the end of an attempt. Where targets report no load, refusals by targets and
// late responses are the only signs that the service is short of room.
func (s *service) recordEnd(now time.Time, req pick.Request, r pick.Report, unreported bool) {
	late := req.Objective > 0 && timeLeft(now, req) < 0
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Class {
	case pick.OK:
		if s.usual == 0 {
			s.usual = r.Latency
		}
		s.usual += time.Duration(usualWeight * float64(r.Latency-s.usual))
	case pick.Shed:
		if unreported || full(r) {
			s.seen.NoRoom++
			s.signAt = now
		}
		return
	default:
		return
	}
	if !unreported {
		return
	}
	s.seen.Answered++
	if late {
		s.seen.Late++
		s.signAt = now
	}
}

// full reports whether a target that turned a request away reports that all of its slots are in use.
// One with free slots turns requests away for another reason, and to admit fewer would not help: there
// would be fewer responses, which would look like still less room.
func full(r pick.Report) bool {
	l := r.TargetLoad
	return l.Slots > 0 && l.Running >= l.Slots
}

// takeReport returns what this host saw since its last report, and starts the next. It returns
// false if none is due.
func (s *service) takeReport(now time.Time) (report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reporting {
		return report{}, false
	}
	s.reporting = now.Sub(s.signAt) < signTTL || s.level.InForce(now.Sub(s.levelAt))
	demand, seen := s.demand, s.seen
	s.demand, s.seen = policy.Demand{}, policy.Observed{}
	if !s.reporting {
		return report{}, false
	}
	return newReport(s.key, &demand, seen), true
}

// setLevel puts a level in force.
func (s *service) setLevel(now time.Time, l policy.Level) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level, s.levelAt = l, now
}

// endReport allows the next report.
func (s *service) endReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reporting = false
}

// idle reports whether the service got no requests for long.
func (s *service) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reporting && now.Sub(s.usedAt) > idleTTL
}

package placer

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
)

// coldLimits are what the configuration says of a service's cold targets.
type coldLimits struct {
	warmUp time.Duration
	// perSecond is the calls that a cold target bears from all hosts; 0 means no bound.
	perSecond float64
}

func (l coldLimits) bounded() bool { return l.perSecond > 0 }

// limitsOf returns the limits of a service by the configuration on a board.
func limitsOf(board *blackboard.Board, name string) coldLimits {
	table := board.Routes.Load()
	if table == nil {
		return coldLimits{}
	}
	s := table.Service(name)
	if s == nil {
		return coldLimits{}
	}
	return coldLimits{warmUp: s.WarmUp, perSecond: s.ColdRate}
}

// quota is this host's part of the calls that a cold target bears, and what it was reckoned
// from.
type quota struct {
	coldstart.Quota
	members   uint64
	perSecond float64
	known     bool
}

// presumeCold takes in what the platform's list says of the target's being cold, if that has
// changed.
func (t *target) presumeCold(now time.Time, was, is blackboard.Target, l coldLimits) {
	if !is.WarmUntil.Equal(was.WarmUntil) {
		t.cold.Infer(now, is.WarmUntil, coldstart.Record)
	}
	if !is.ReturnedAt.IsZero() && !is.ReturnedAt.Equal(was.ReturnedAt) {
		t.cold.Infer(now, is.ReturnedAt.Add(l.warmUp), coldstart.ZoneReturn)
	}
}

// hearCold takes in how much longer a target is cold by its own answer, and reports whether that
// is news. The lock is held.
func (s *service) hearCold(now time.Time, t *target, left time.Duration) bool {
	if !s.limits.bounded() {
		return false // the service's targets do not tell
	}
	was := t.cold.Cold(now)
	t.cold.Observe(now, left)
	return left > 0 && !was
}

// quotaOf returns this host's part of a cold target's calls. The lock is held.
func (s *service) quotaOf(t *target) coldstart.Quota {
	version := s.board.Members.Version()
	if !t.quota.known || t.quota.members != version || t.quota.perSecond != s.limits.perSecond {
		m := s.board.Members.Load()
		t.quota = quota{
			Quota:     coldstart.NewQuota(m.Self, t.info.ID, t.info.Zone, s.limits.perSecond, m.Members),
			members:   version,
			perSecond: s.limits.perSecond,
			known:     true,
		}
	}
	return t.quota.Quota
}

// limited reports whether the target is cold, or may be, and gets only so many calls. The lock is
// held.
func (s *service) limited(now time.Time, t *target) bool {
	return s.limits.bounded() && !t.cold.Warm(now)
}

// spent reports whether a target may get no call from this host now since it is cold, or may be,
// and the host's part of its calls is used up. The lock is held.
//
// Cold targets are idle, and so look best to every host at the same moment. The parts of all hosts
// add up to what a target bears.
func (s *service) spent(now time.Time, t *target) bool {
	return s.limited(now, t) && !s.quotaOf(t).Available(now)
}

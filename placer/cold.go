package placer

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
)

// coldLimits are the configured limits for a service's cold targets.
type coldLimits struct {
	warmUp time.Duration
	// perSecond is the rate of calls that one cold target accepts from all hosts together; 0
	// means unlimited.
	perSecond float64
}

func (l coldLimits) bounded() bool { return l.perSecond > 0 }

// coldLimitsOf returns the cold-start limits of a service from the routes on the board. They
// are zero if the service is not configured.
func coldLimitsOf(board *blackboard.Board, name string) coldLimits {
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

// coldQuota caches this host's share of the calls to one cold target, with the inputs it was
// computed from.
type coldQuota struct {
	coldstart.Quota
	membersVersion uint64
	perSecond      float64
	known          bool
}

// presumeCold updates the presumed end of the target's warm-up if the platform's entry for it
// has changed.
func (t *target) presumeCold(now time.Time, prev, cur blackboard.Target, l coldLimits) {
	if !cur.WarmUntil.Equal(prev.WarmUntil) {
		t.cold.Infer(now, cur.WarmUntil, coldstart.Record)
	}
	if !cur.ReturnedAt.IsZero() && !cur.ReturnedAt.Equal(prev.ReturnedAt) {
		t.cold.Infer(now, cur.ReturnedAt.Add(l.warmUp), coldstart.ZoneReturn)
	}
}

// recordWarmUp records the remaining warm-up time that a target reported, and reports whether
// the target is newly known to be cold. The caller holds the lock.
func (s *service) recordWarmUp(now time.Time, t *target, remaining time.Duration) bool {
	if !s.limits.bounded() {
		return false // targets of the service do not report their warm-up
	}
	wasCold := t.cold.Cold(now)
	t.cold.Observe(now, remaining)
	return remaining > 0 && !wasCold
}

// coldQuotaOf returns this host's share of the calls to a cold target. It is recomputed when
// the members or the configured rate change. The caller holds the lock.
func (s *service) coldQuotaOf(t *target) coldstart.Quota {
	version := s.board.Members.Version()
	if !t.quota.known || t.quota.membersVersion != version || t.quota.perSecond != s.limits.perSecond {
		m := s.board.Members.Load()
		t.quota = coldQuota{
			Quota:          coldstart.NewQuota(m.Self, t.info.ID, t.info.Zone, s.limits.perSecond, m.Members),
			membersVersion: version,
			perSecond:      s.limits.perSecond,
			known:          true,
		}
	}
	return t.quota.Quota
}

// coldLimited reports whether calls to the target are rate limited because it is, or may be,
// cold. The caller holds the lock.
func (s *service) coldLimited(now time.Time, t *target) bool {
	return s.limits.bounded() && !t.cold.Warm(now)
}

// overColdQuota reports whether the target is, or may be, cold and this host's quota of calls
// to it is used up. The caller holds the lock.
//
// Cold targets are idle and therefore look cheapest to every host at the same moment. The
// quotas of all hosts add up to the configured rate of the target.
func (s *service) overColdQuota(now time.Time, t *target) bool {
	return s.coldLimited(now, t) && !s.coldQuotaOf(t).Available(now)
}

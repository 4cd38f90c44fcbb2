package placer

import (
	"maps"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/coldstart"
	"github.com/cactusproxy/cactusproxy/ports"
)

// coldQuota is this host's share of the calls to one cold target, with the inputs of its ownership.
type coldQuota struct {
	coldstart.Quota
	hostsVersion uint64
	perSecond    float64
	known        bool
}

// coldQuotaOf returns this host's share of the calls to a cold target. Its ownership is computed
// again when the hosts or the configured rate change. The caller holds the lock.
func (s *service) coldQuotaOf(now time.Time, t *target) *coldQuota {
	q := &t.quota
	if version := s.view.Version; !q.known || q.hostsVersion != version || q.perSecond != s.limits.perSecond {
		q.Assign(now, s.limits.perSecond, s.view.OwnershipOf(t.info.ID, t.info.Zone, s.limits.perSecond))
		q.hostsVersion, q.perSecond, q.known = version, s.limits.perSecond, true
	}
	return q
}

// keepQuota keeps what was spent of the quota of a target that is no longer listed: its entry may
// return. The caller holds the lock.
func (s *service) keepQuota(now time.Time, t *target) {
	if t.quota.Spent(now) {
		s.keptQuotas[t.info.RunID()] = t.quota
	}
}

// restoreQuota returns what was kept of the quota of a target that is listed again. The caller
// holds the lock.
func (s *service) restoreQuota(run ports.RunID) coldQuota {
	q := s.keptQuotas[run]
	delete(s.keptQuotas, run)
	return q
}

// dropKeptQuotas drops the kept quotas that count no longer. The caller holds the lock.
func (s *service) dropKeptQuotas(now time.Time) {
	maps.DeleteFunc(s.keptQuotas, func(_ ports.RunID, q coldQuota) bool { return !q.Spent(now) })
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
	return s.coldLimited(now, t) && !(s.view.MayOwn(now) && s.coldQuotaOf(now, t).Available(now))
}

// grantTTL is how long a call that was placed at a target that may turn cold may take to be sent.
// Calls that wait longer for a connection would reach the target together, and later than its quota
// allowed them.
const grantTTL = 250 * time.Millisecond

// admitCold takes a call to a target from this host's quota if the target is, or may be, cold. It
// records in b why the call is allowed. The caller holds the lock.
func (s *service) admitCold(now time.Time, t *target, b *pick.Basis) (cold bool) {
	if !s.limits.bounded() {
		return false
	}
	b.SendBy = now.Add(grantTTL)
	if !s.coldLimited(now, t) {
		b.WarmAge = t.cold.ReportAge(now)
		return false
	}
	q := s.coldQuotaOf(now, t)
	if !s.view.MayOwn(now) || !q.Take(now) {
		invariant.Check(false, invariant.ColdQuota, "%s", t.info.RunID())
	}
	b.Cold = t.cold.Basis(now).String()
	b.ColdQuota = pick.ColdQuota{
		Owners:      q.Owners,
		Hosts:       q.Hosts,
		ListVersion: q.hostsVersion,
		ListAge:     now.Sub(s.view.Since),
		Left:        q.Left(now),
	}
	return true
}

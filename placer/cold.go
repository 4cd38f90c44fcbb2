package placer

import (
	"context"
	"time"

	"go.uber.org/zap"

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

// coldTurn is what this host knew of a target when the target first reported that it is cold.
type coldTurn struct {
	remaining time.Duration
	// presumed is why the target was considered cold before its report.
	presumed coldstart.Source
	// calls is the number of calls sent since the report before, whose age was reportAge.
	calls     int
	reportAge time.Duration
}

// recordWarmUp records the remaining warm-up time that a target reported, and reports whether
// that is the first of its reports that it is cold. The caller holds the lock.
//
// A warm target reports no time, but neither does a rejection, or a response that isn't the
// target's.
func (s *service) recordWarmUp(asked, now time.Time, t *target, a probeResult) bool {
	remaining := a.signals.WarmUp
	if !s.limits.bounded() || remaining <= 0 && !a.own {
		return false
	}
	before := t.cold
	t.cold.Observe(asked, now, remaining)
	if remaining <= 0 || before.Cold(now) && before.Confirmed() {
		return false
	}
	t.coldTurn = coldTurn{
		remaining: remaining,
		presumed:  before.Basis(now),
		calls:     before.Calls(),
		reportAge: before.ReportAge(now),
	}
	return true
}

// logCold logs that a target reported that it is cold, with the number of calls that this host sent
// on the strength of the report before. The lines are rate limited: a zone that returns may have
// thousands of cold targets.
func (p *Placer) logCold(s *service, t *target) {
	if !p.coldLines.Allow() {
		p.count.linesDropped.Add(1)
		return
	}
	s.mu.Lock()
	turn, run := t.coldTurn, t.info.RunID()
	s.mu.Unlock()
	p.deps.Log.Info(msgCold, zap.String("target", string(run)), zap.String("service", s.key.Service),
		zap.Duration("remaining", turn.remaining), zap.Stringer("presumed", turn.presumed),
		zap.Int("calls", turn.calls), zap.Duration("report_age", turn.reportAge))
}

// coldLinesPerSecond and coldLineBurst limit the log lines about cold targets.
const (
	coldLinesPerSecond = 20
	coldLineBurst      = 200
)

// awaitReport waits until the probe of a target ends that could take the call but for its quota, and
// reports whether there was one. A target whose report is late may well be warm, and refusing the
// call would cost its caller more time than the wait.
func (p *Placer) awaitReport(ctx context.Context, s *service, list []ranked) bool {
	done := s.awaitedReport(time.Now(), list)
	if done == nil {
		return false
	}
	p.count.reportWaits.Add(1)
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitedReport returns what is closed when the probe of a target ends that could take a call but
// for its quota; nil if there is none.
func (s *service) awaitedReport(now time.Time, list []ranked) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range list {
		if r.probeDone != nil && r.available(now) && !r.figures.Full(now) && !r.cold.Cold(now) && s.overColdQuota(now, r.target) {
			return r.probeDone
		}
	}
	return nil
}

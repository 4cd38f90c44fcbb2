package backpressure

import (
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// reportTTL is how long a limit report is kept without a newer one.
	reportTTL = time.Minute
	// refreshAfter is the age of the last limit report from which on an unchanged one is passed
	// on to the counting host.
	refreshAfter = 5 * time.Second
	// minRate is the request rate, per second, that a target gets however low its limit is:
	// only its responses can tell that the limit has ended.
	minRate = 0.2
)

// limitReport is the last known limit of a target.
type limitReport struct {
	limit targetapi.Limit
	at    time.Time
	// service is the target's service; the zero value if the report came from another host.
	service blackboard.ServiceKey
}

// rate returns the enforced rate in requests per second; 0 means unlimited.
func (w limitReport) rate() float64 {
	if !w.limit.Named {
		return 0
	}
	return max(w.limit.PerSecond, minRate)
}

// limits holds the request limits of targets. It is safe for concurrent use.
type limits struct {
	log   *limitedLogger
	count limitCounters

	mu      sync.Mutex
	reports map[ports.RunID]limitReport
	// named is the number of targets with a limit, by service.
	named     map[blackboard.ServiceKey]int
	lastSweep time.Time
}

type limitCounters struct {
	// named counts responses that set a limit, changed how often a target changed its limit.
	named, changed *expvar.Int
}

// newLimits returns an empty set of limits.
func newLimits(m *metrics.Set, log *limitedLogger) *limits {
	c := m.Counters("backpressure")
	l := &limits{
		log:     log,
		count:   limitCounters{named: c("limits_named"), changed: c("limits_changed")},
		reports: make(map[ports.RunID]limitReport),
		named:   make(map[blackboard.ServiceKey]int),
	}
	m.Func("targets_limited", func() any { return l.limited() })
	return l
}

// RecordSignals records the limit in a target's response. It reports whether the counting host
// should be told: the limit changed, or that host's report is old.
func (l *limits) RecordSignals(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) (tell bool) {
	if s.Limit.Named {
		l.count.named.Add(1)
	}
	now := time.Now()
	before, recorded := l.record(t.RunID(), limitReport{s.Limit, now, service})
	if !recorded {
		return false
	}
	changed := before.limit != s.Limit
	if changed {
		l.logChange(t.RunID(), before.limit, s.Limit, "answer")
	}
	return changed || s.Limit.Named && now.Sub(before.at) > refreshAfter
}

// Observe records what another host knows of a target's limit.
func (l *limits) Observe(run string, w quota.ObservedLimit) {
	limit := targetapi.Limit{Named: w.Rate > 0, PerSecond: w.Rate}
	before, recorded := l.record(ports.RunID(run), limitReport{limit: limit, at: time.Now().Add(-w.Age)})
	if recorded && before.limit != limit {
		l.logChange(ports.RunID(run), before.limit, limit, "host")
	}
}

// logChange logs and counts a change of a target's limit as known to this host.
func (l *limits) logChange(run ports.RunID, before, now targetapi.Limit, source string) {
	l.count.changed.Add(1)
	l.log.info("target names a limit", zap.String("target", string(run)), zap.Bool("named", now.Named),
		zap.Float64("per_second", now.PerSecond), zap.Bool("named_before", before.Named),
		zap.Float64("before", before.PerSecond), zap.String("source", source))
}

// Limit returns the limit to enforce for a target; a rate of 0 means that it has none.
func (l *limits) Limit(run string) (quota.Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return quota.Limit{Rate: l.reports[ports.RunID(run)].rate()}, true
}

// Observed returns what this host knows of a target's limit, to be sent to other hosts.
func (l *limits) Observed(run string) quota.ObservedLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, known := l.reports[ports.RunID(run)]
	if !known {
		return quota.ObservedLimit{}
	}
	return quota.ObservedLimit{Known: true, Rate: w.rate(), Age: time.Since(w.at)}
}

// any reports whether a target of a service set a limit in a response to this host.
func (l *limits) any(service blackboard.ServiceKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named[service] > 0
}

// record stores a report unless a newer one is known, and reports whether it did.
func (l *limits) record(run ports.RunID, w limitReport) (before limitReport, recorded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(time.Now())
	before, known := l.reports[run]
	if !w.at.After(before.at) || !known && !w.limit.Named {
		return before, false
	}
	if w.service == (blackboard.ServiceKey{}) {
		w.service = before.service
	}
	l.countNamed(before, -1)
	l.countNamed(w, 1)
	l.reports[run] = w
	return before, true
}

// countNamed adds delta to the number of limited targets if the report sets a limit. The caller
// holds the lock.
func (l *limits) countNamed(w limitReport, delta int) {
	if !w.limit.Named {
		return
	}
	l.named[w.service] += delta
	if l.named[w.service] == 0 {
		delete(l.named, w.service)
	}
}

// sweep drops expired reports. The caller holds the lock.
func (l *limits) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < reportTTL {
		return
	}
	l.lastSweep = now
	for run, w := range l.reports {
		if now.Sub(w.at) > reportTTL {
			l.countNamed(w, -1)
			delete(l.reports, run)
		}
	}
}

// limited returns the number of targets with a limit.
func (l *limits) limited() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.named {
		n += count
	}
	return n
}

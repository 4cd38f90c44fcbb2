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
	// forgetAfter is how long a target's word is kept without another one.
	forgetAfter = time.Minute
	// tellAfter is how old the last word of a limit may be when another one comes, without
	// the host that counts being told of it.
	tellAfter = 5 * time.Second
	// leastRate is sent to a target whatever it names, in requests a second: its answers alone
	// may tell that the limit has ended.
	leastRate = 0.2
)

// word is what a target last said of its limit.
type word struct {
	limit targetapi.Limit
	at    time.Time
	// service is the target's; the zero value if another host told of it.
	service blackboard.ServiceKey
}

// rate is what the target gets, in requests a second; 0 means any number.
func (w word) rate() float64 {
	if !w.limit.Named {
		return 0
	}
	return max(w.limit.PerSecond, leastRate)
}

// limits are the limits that targets name. It is safe for concurrent use.
type limits struct {
	lines *lines
	count limitCounters

	mu    sync.Mutex
	words map[ports.RunID]word
	// named is how many targets of each service name a limit.
	named map[blackboard.ServiceKey]int
	swept time.Time
}

type limitCounters struct {
	// named counts answers that named a limit, changed how often a target named another one.
	named, changed *expvar.Int
}

// newLimits returns limits of which nothing is known.
func newLimits(m *metrics.Set, lines *lines) *limits {
	c := m.Counters("backpressure")
	l := &limits{
		lines: lines,
		count: limitCounters{named: c("limits_named"), changed: c("limits_changed")},
		words: make(map[ports.RunID]word),
		named: make(map[blackboard.ServiceKey]int),
	}
	m.Func("targets_limited", func() any { return l.limited() })
	return l
}

// Heard takes in what a target says. It reports whether other hosts should hear of it: it is news,
// or what they know is old.
func (l *limits) Heard(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) (tell bool) {
	if s.Limit.Named {
		l.count.named.Add(1)
	}
	now := time.Now()
	before, taken := l.note(t.RunID(), word{s.Limit, now, service})
	if !taken {
		return false
	}
	changed := before.limit != s.Limit
	if changed {
		l.tellChange(t.RunID(), before.limit, s.Limit, "answer")
	}
	return changed || s.Limit.Named && now.Sub(before.at) > tellAfter
}

// Hear takes in what another host knows of a target's limit.
func (l *limits) Hear(run string, w quota.Word) {
	limit := targetapi.Limit{Named: w.Rate > 0, PerSecond: w.Rate}
	before, taken := l.note(ports.RunID(run), word{limit: limit, at: time.Now().Add(-w.Age)})
	if taken && before.limit != limit {
		l.tellChange(ports.RunID(run), before.limit, limit, "host")
	}
}

// tellChange logs that this host believes something else of a target's limit.
func (l *limits) tellChange(run ports.RunID, before, now targetapi.Limit, source string) {
	l.count.changed.Add(1)
	l.lines.info("target names a limit", zap.String("target", string(run)), zap.Bool("named", now.Named),
		zap.Float64("per_second", now.PerSecond), zap.Bool("named_before", before.Named),
		zap.Float64("before", before.PerSecond), zap.String("source", source))
}

// Limit returns what a target takes; a rate of 0 means that it names no limit.
func (l *limits) Limit(run string) (quota.Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return quota.Limit{Rate: l.words[ports.RunID(run)].rate()}, true
}

// Word returns what is known of a target's limit, for other hosts.
func (l *limits) Word(run string) quota.Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, known := l.words[ports.RunID(run)]
	if !known {
		return quota.Word{}
	}
	return quota.Word{Known: true, Rate: w.rate(), Age: time.Since(w.at)}
}

// any reports whether some target of a service named a limit to this host.
func (l *limits) any(service blackboard.ServiceKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named[service] > 0
}

// note takes in a word unless a later one is known, and reports whether it did.
func (l *limits) note(run ports.RunID, w word) (before word, taken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(time.Now())
	before, known := l.words[run]
	if !w.at.After(before.at) || !known && !w.limit.Named {
		return before, false
	}
	if w.service == (blackboard.ServiceKey{}) {
		w.service = before.service
	}
	l.countNamed(before, -1)
	l.countNamed(w, 1)
	l.words[run] = w
	return before, true
}

// countNamed counts a word that comes or goes. The lock is held.
func (l *limits) countNamed(w word, by int) {
	if !w.limit.Named {
		return
	}
	l.named[w.service] += by
	if l.named[w.service] == 0 {
		delete(l.named, w.service)
	}
}

// sweep drops words that are too old. The lock is held.
func (l *limits) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for run, w := range l.words {
		if now.Sub(w.at) > forgetAfter {
			l.countNamed(w, -1)
			delete(l.words, run)
		}
	}
}

// limited returns how many targets name a limit.
func (l *limits) limited() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.named {
		n += count
	}
	return n
}

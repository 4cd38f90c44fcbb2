// Package backpressure keeps to what targets ask of the hosts that send them requests. What a
// target says is read in one place (targetapi.Contract); here is what follows from it.
package backpressure

import (
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// forgetAfter is how long a target's word is kept without another one.
	forgetAfter = time.Minute
	// linesPerSecond and lineBurst bound the lines of one host on targets that change their
	// minds.
	linesPerSecond = 20
	lineBurst      = 100
)

// word is what a target last said of its limit.
type word struct {
	limit targetapi.Limit
	at    time.Time
}

// Limits are the limits that targets name. It is safe for concurrent use.
type Limits struct {
	log   *zap.Logger
	lines *rate.Limiter
	count limitCounters

	mu    sync.Mutex
	words map[ports.RunID]word
	swept time.Time
}

type limitCounters struct {
	// named counts answers that named a limit, changed how often a target named another one.
	named, changed, linesDropped *expvar.Int
}

// NewLimits returns limits of which nothing is known.
func NewLimits(m *metrics.Set, log *zap.Logger) *Limits {
	l := &Limits{
		log:   log,
		lines: rate.NewLimiter(linesPerSecond, lineBurst),
		count: limitCounters{
			named:        m.Int("target_limits_named"),
			changed:      m.Int("target_limits_changed"),
			linesDropped: m.Int("target_limit_lines_dropped"),
		},
		words: make(map[ports.RunID]word),
	}
	m.Func("targets_limited", func() any { return l.limited() })
	return l
}

// Heard takes in what a target says; it is a pick.Listener.
func (l *Limits) Heard(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) {
	if s.Limit.Named {
		l.count.named.Add(1)
	}
	before, changed := l.note(t.Run(), word{s.Limit, time.Now()})
	if !changed {
		return
	}
	l.count.changed.Add(1)
	if !l.lines.Allow() {
		l.count.linesDropped.Add(1)
		return
	}
	l.log.Info("target names a limit", zap.String("target", string(t.Run())), zap.String("service", service.Service),
		zap.Bool("named", s.Limit.Named), zap.Float64("per_second", s.Limit.PerSecond),
		zap.Bool("named_before", before.Named), zap.Float64("before", before.PerSecond))
}

// note takes in a word unless a later one is known, and reports whether it is another limit.
func (l *Limits) note(run ports.RunID, w word) (before targetapi.Limit, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(w.at)
	old, known := l.words[run]
	if !w.at.After(old.at) || !known && !w.limit.Named {
		return old.limit, false
	}
	l.words[run] = w
	return old.limit, old.limit != w.limit
}

// sweep drops words that are too old. The lock is held.
func (l *Limits) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for run, w := range l.words {
		if now.Sub(w.at) > forgetAfter {
			delete(l.words, run)
		}
	}
}

// limited returns how many targets name a limit.
func (l *Limits) limited() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.words {
		if w.limit.Named {
			n++
		}
	}
	return n
}

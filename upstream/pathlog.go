package upstream

import (
	"expvar"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the log lines about paths.
	linesPerSecond = 20
	lineBurst      = 100
)

// pathLog writes log lines and counts what becomes known of the paths to targets.
type pathLog struct {
	log                             *zap.Logger
	limiter                         *rate.Limiter
	ownFailed, lost, regained       *expvar.Int
	checks, relayed, lines, suspect *expvar.Int
	verified, stalled               *expvar.Int
	faults, stale                   *expvar.Int
}

func newPathLog(o Options) *pathLog {
	c := o.Metrics.Counters("paths")
	return &pathLog{
		log:       o.Log,
		limiter:   rate.NewLimiter(linesPerSecond, lineBurst),
		ownFailed: c("own_failed"),
		lost:      c("lost"),
		regained:  c("regained"),
		checks:    c("checks"),
		suspect:   c("suspected"),
		verified:  c("verified"),
		stalled:   c("stalled"),
		faults:    c("faults"),
		stale:     c("stale"),
		relayed:   c("relayed"),
		lines:     c("lines_dropped"),
	}
}

// fault counts a failure that says nothing about its target, and marks its error with ErrPathFault.
func (l *pathLog) fault(err error) error {
	l.faults.Add(1)
	return errors.Mark(err, ErrPathFault)
}

func (l *pathLog) info(msg string, fields ...zap.Field) {
	if !l.limiter.Allow() {
		l.lines.Add(1)
		return
	}
	l.log.Info(msg, fields...)
}

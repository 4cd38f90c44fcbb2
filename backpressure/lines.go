package backpressure

import (
	"expvar"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the lines of one host on targets that change their
	// minds.
	linesPerSecond = 20
	lineBurst      = 100
)

// lines writes a bounded number of lines.
type lines struct {
	log     *zap.Logger
	limiter *rate.Limiter
	dropped *expvar.Int
}

func newLines(log *zap.Logger, dropped *expvar.Int) *lines {
	return &lines{log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst), dropped: dropped}
}

func (l *lines) info(msg string, fields ...zap.Field) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.log.Info(msg, fields...)
}

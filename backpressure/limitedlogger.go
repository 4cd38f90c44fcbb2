package backpressure

import (
	"expvar"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the log lines of this host about changes of targets'
	// signals.
	linesPerSecond = 20
	lineBurst      = 100
)

// limitedLogger is a rate-limited logger that counts dropped lines.
type limitedLogger struct {
	log     *zap.Logger
	limiter *rate.Limiter
	dropped *expvar.Int
}

func newLimitedLogger(log *zap.Logger, dropped *expvar.Int) *limitedLogger {
	return &limitedLogger{log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst), dropped: dropped}
}

func (l *limitedLogger) info(msg string, fields ...zap.Field) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.log.Info(msg, fields...)
}

package backpressure

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

func newTestLimits(log *zap.Logger) *limits {
	m := metrics.New()
	return newLimits(m, newLimitedLogger(log, m.Int("dropped")))
}

func TestLimitsAreLoggedAsTheyChange(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	l := newTestLimits(zap.New(core))
	say := func(limit targetapi.Limit) {
		l.RecordSignals(blackboard.ServiceKey{}, blackboard.Target{ID: "t"}, targetapi.Signals{Limit: limit})
		time.Sleep(time.Microsecond)
	}
	say(targetapi.Limit{})
	assert.Equal(t, lines.Len(), 0)
	for range 3 {
		say(targetapi.Limit{Named: true, PerSecond: 1.5})
	}
	assert.Equal(t, lines.Len(), 1)
	assert.Equal(t, l.limited(), 1)
	say(targetapi.Limit{})
	assert.Equal(t, lines.Len(), 2)
	assert.Equal(t, l.limited(), 0)
}

func TestOlderReportIsIgnored(t *testing.T) {
	l := newTestLimits(zap.NewNop())
	now := time.Now()
	l.record("t", limitReport{limit: targetapi.Limit{Named: true, PerSecond: 1}, at: now})
	l.record("t", limitReport{at: now.Add(-time.Second)})
	assert.Equal(t, l.limited(), 1)
}

package placer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// report records a load report of each target of a zone.
func (l *testPlacer) report(zone string, load targetapi.Load) {
	s := l.p.service(testKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.refresh(now)
	for _, t := range s.list {
		if t.info.Zone == zone {
			s.recordLoad(now, t, load)
		}
	}
}

// Guards against refusing a large upload because no slot is free in the host's own zone, which is
// cheapest for its bytes, although a target of another zone is idle.
func TestUploadGoesToAnIdleTargetOfAnotherZoneRatherThanBeRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestPlacer(t)
		l.p.deps.Zone = "a"
		l.listZones([]string{"a", "a", "b"})
		queued := targetapi.Load{Running: 2, Waiting: 1, Slots: 2, Slowdown: 1}
		for range 200 { // the averages of the zone show that slots are scarce
			l.report("a", queued)
		}
		req := pick.Request{Service: testKey, Arrived: time.Now(), Objective: time.Minute, Bytes: 60 << 10}
		s := l.p.service(testKey)
		s.workTime = 100 * time.Millisecond

		l.report("b", targetapi.Load{Slots: 2, Slowdown: 1})
		g, refusal := l.p.Pick(t.Context(), req)
		assert.Assert(t, g != nil, refusal.Reason)
		assert.Equal(t, g.Target().Zone, "b")
		g.Release(pick.Report{Class: pick.Canceled, Load: -1})

		for range 200 {
			l.report("a", queued)
			l.report("b", queued)
		}
		start := time.Now()
		g, refusal = l.p.Pick(t.Context(), req)
		assert.Check(t, g == nil)
		assert.Equal(t, refusal.Reason, outcome.ReasonOverload)
		assert.Equal(t, time.Since(start), time.Duration(0), "where no slot is free anywhere it is refused at once")
	})
}

package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

var now = time.Unix(1000, 0)

// reported returns the state of a target with four slots that has just reported its load.
func reported(running, waiting int, slowdown float64) TargetState {
	f := TargetState{Slots: 4, Baseline: NewBaseline()}
	f.ObserveLoad(now, targetapi.Load{Running: running, Waiting: waiting, Slots: 4, Slowdown: slowdown})
	return f
}

func assertCheaper(t *testing.T, a, b TargetState) {
	t.Helper()
	assert.Check(t, a.Cost(now, TransferCost(5000)) < b.Cost(now, TransferCost(5000)), "%.2f, %.2f", a.Cost(now, TransferCost(5000)), b.Cost(now, TransferCost(5000)))
}

// A call starts immediately at a target with a free slot; among such targets the slowdown
// decides, not the number of slots in use.
func TestPaceOutweighsFreeSlots(t *testing.T) {
	assertCheaper(t, reported(3, 0, 1), reported(0, 0, 5))
	assertCheaper(t, reported(0, 0, 1), reported(3, 0, 1))
	assertCheaper(t, reported(0, 0, 2), reported(4, 2, 1))
}

func TestOwnZoneOutweighsAFewCalls(t *testing.T) {
	otherZone := reported(0, 0, 1)
	otherZone.OtherZone = true
	assertCheaper(t, reported(1, 0, 1), otherZone)
	assertCheaper(t, otherZone, reported(4, 4, 1))
}

func TestOwnCallsCountBeforeTheTargetReportsThem(t *testing.T) {
	f := reported(0, 0, 1)
	f.InFlight = 6
	assertCheaper(t, reported(4, 0, 1), f)
}

// Every target of the host's zone is full, and the host can probe only a few of them. It must not
// consider the others idle: their zone is as full as the reports say.
func TestTargetsWithoutAReportUseTheBaseline(t *testing.T) {
	own, other := NewBaseline(), NewBaseline()
	for range 500 {
		own.Observe(targetapi.Load{Running: 4, Waiting: 9, Slowdown: 1}, 13, 4)
		other.Observe(targetapi.Load{Running: 1, Slowdown: 1}, 1, 4)
	}
	unknownOwnZone := TargetState{Slots: 4, Baseline: own}
	unknownOtherZone := TargetState{Slots: 4, Baseline: other, OtherZone: true}
	assertCheaper(t, unknownOtherZone, unknownOwnZone)
	assert.Check(t, unknownOwnZone.Full(now))
	assert.Check(t, !unknownOtherZone.Full(now))
}

// A report loses its weight with age: the slowdown within 150 ms, the number of calls within
// 600 ms.
func TestReportsLoseWeightWithAge(t *testing.T) {
	f := reported(4, 4, 5)
	fresh := f.Cost(now, TransferCost(5000))
	later := f.Cost(now.Add(100*time.Millisecond), TransferCost(5000))
	old := f.Cost(now.Add(time.Second), TransferCost(5000))
	assert.Check(t, fresh > later && later > old)
	idle := TargetState{Slots: 4, Baseline: NewBaseline()}
	assert.Equal(t, old, idle.Cost(now, TransferCost(5000)))
}

// Calls of this host are subtracted from a report as they end; the rest are calls of other hosts.
func TestOwnCallsAreSubtractedAsTheyEnd(t *testing.T) {
	f := TargetState{Slots: 4, Baseline: NewBaseline(), InFlight: 3}
	f.ObserveLoad(now, targetapi.Load{Running: 4, Waiting: 1, Slots: 4, Slowdown: 1})
	full := f.Cost(now, TransferCost(5000))
	assert.Equal(t, f.OtherCalls, 2)
	f.InFlight = 0
	assert.Check(t, f.Cost(now, TransferCost(5000)) < full)
	other := reported(2, 0, 1)
	assert.Equal(t, f.Cost(now, TransferCost(5000)), other.Cost(now, TransferCost(5000)))
}

// A target must not get more calls than it can queue, as far as that is known.
func TestFull(t *testing.T) {
	f := reported(4, 7, 1)
	assert.Check(t, !f.Full(now))
	f.InFlight++
	assert.Check(t, f.Full(now))
}

func BenchmarkCostOf100Targets(b *testing.B) {
	list := make([]TargetState, 100)
	for i := range list {
		list[i] = reported(i%5, i%3, 1+float64(i%4))
	}
	b.ReportAllocs()
	for b.Loop() {
		least := list[0].Cost(now, TransferCost(5000))
		for i := range list {
			least = min(least, list[i].Cost(now, TransferCost(5000)))
		}
	}
}

package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

var now = time.Unix(1000, 0)

// told is a target of four slots that told its load just now.
func told(running, waiting int, pace float64) TargetState {
	f := TargetState{Slots: 4, Baseline: NewBaseline()}
	f.ObserveLoad(now, targetapi.Load{Running: running, Waiting: waiting, Slots: 4, Pace: pace})
	return f
}

func cheaper(t *testing.T, a, b TargetState) {
	t.Helper()
	assert.Check(t, a.Cost(now, TransferCost(5000)) < b.Cost(now, TransferCost(5000)), "%.2f, %.2f", a.Cost(now, TransferCost(5000)), b.Cost(now, TransferCost(5000)))
}

// A call begins at once at a target with a slot free; there its pace decides, not how
// many slots are taken.
func TestPaceGoesBeforeFreeSlots(t *testing.T) {
	cheaper(t, told(3, 0, 1), told(0, 0, 5))
	cheaper(t, told(0, 0, 1), told(3, 0, 1))
	cheaper(t, told(0, 0, 2), told(4, 2, 1))
}

func TestOwnZoneGoesBeforeAFewCalls(t *testing.T) {
	far := told(0, 0, 1)
	far.OtherZone = true
	cheaper(t, told(1, 0, 1), far)
	cheaper(t, far, told(4, 4, 1))
}

func TestCallsOfThisHostCountBeforeTheTargetTellsOfThem(t *testing.T) {
	f := told(0, 0, 1)
	f.InFlight = 6
	cheaper(t, told(4, 0, 1), f)
}

// Every target of the own zone is full, and a host that may ask few of them goes by
// what is usual for the rest. It must not take the silent ones for idle: their zone is
// as full as those that told.
func TestSilentTargetsAreTakenForUsual(t *testing.T) {
	near, far := NewBaseline(), NewBaseline()
	for range 500 {
		near.Observe(targetapi.Load{Running: 4, Waiting: 9, Pace: 1}, 13, 4)
		far.Observe(targetapi.Load{Running: 1, Pace: 1}, 1, 4)
	}
	silentNear := TargetState{Slots: 4, Baseline: near}
	silentFar := TargetState{Slots: 4, Baseline: far, OtherZone: true}
	cheaper(t, silentFar, silentNear)
	assert.Check(t, silentNear.Full(now))
	assert.Check(t, !silentFar.Full(now))
}

// A figure loses its weight with age: of the pace within 150 ms, of the queue within
// 600 ms.
func TestFiguresAge(t *testing.T) {
	f := told(4, 4, 5)
	fresh := f.Cost(now, TransferCost(5000))
	later := f.Cost(now.Add(100*time.Millisecond), TransferCost(5000))
	old := f.Cost(now.Add(time.Second), TransferCost(5000))
	assert.Check(t, fresh > later && later > old)
	idle := TargetState{Slots: 4, Baseline: NewBaseline()}
	assert.Equal(t, old, idle.Cost(now, TransferCost(5000)))
}

// Of the calls that a target told, those of this host are counted off as they end, and
// the rest stands for the calls of others.
func TestOwnCallsAreCountedOffAsTheyEnd(t *testing.T) {
	f := TargetState{Slots: 4, Baseline: NewBaseline(), InFlight: 3}
	f.ObserveLoad(now, targetapi.Load{Running: 4, Waiting: 1, Slots: 4, Pace: 1})
	full := f.Cost(now, TransferCost(5000))
	assert.Equal(t, f.OtherCalls, 2)
	f.InFlight = 0
	assert.Check(t, f.Cost(now, TransferCost(5000)) < full)
	other := told(2, 0, 1)
	assert.Equal(t, f.Cost(now, TransferCost(5000)), other.Cost(now, TransferCost(5000)))
}

// A target must not get more than it can queue, as far as that is known.
func TestFull(t *testing.T) {
	f := told(4, 7, 1)
	assert.Check(t, !f.Full(now))
	f.InFlight++
	assert.Check(t, f.Full(now))
}

func BenchmarkCostOf100Targets(b *testing.B) {
	list := make([]TargetState, 100)
	for i := range list {
		list[i] = told(i%5, i%3, 1+float64(i%4))
	}
	b.ReportAllocs()
	for b.Loop() {
		least := list[0].Cost(now, TransferCost(5000))
		for i := range list {
			least = min(least, list[i].Cost(now, TransferCost(5000)))
		}
	}
}

package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

var start = time.Date(2026, 2, 13, 6, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// lose feeds the tracker with a break-off at this moment.
func lose(b *Tracker, when time.Duration, d Digest, target ports.RunID, trial bool) State {
	return b.BrokeOff(at(when), Run{Digest: d, Loss: Loss{Target: target, At: at(when), Trial: trial}})
}

func small() Limits {
	l := DefaultLimits()
	l.MaxEntries = 4
	return l
}

// One crash breaks the connections of two runs of the same request: that is one
// lost target. Only the trial at a second target is the evidence.
func TestQuarantineNeedsTwoTargets(t *testing.T) {
	b := NewTracker(DefaultLimits())
	assert.Equal(t, lose(b, 0, 1, "t1", false), Suspect)
	assert.Equal(t, lose(b, time.Millisecond, 1, "t1", false), Suspect)
	assert.Equal(t, b.Ask(at(time.Second), 1, "h1/1"), Alone)
	assert.Equal(t, b.Ask(at(time.Second), 1, "h2/1"), Busy)
	assert.Equal(t, lose(b, 2*time.Second, 1, "t2", true), Quarantined)
	b.EndTrial(1, "h1/1")
	assert.Equal(t, b.Ask(at(2*time.Second), 1, "h2/2"), Busy)
	assert.Equal(t, b.Ask(at(3*time.Second), 1, "h2/3"), Refused)
}

func TestAnswerClearsAtOnce(t *testing.T) {
	b := NewTracker(DefaultLimits())
	lose(b, 0, 1, "t1", false)
	r, ok := b.Record(at(0), 1)
	assert.Check(t, ok)
	assert.Check(t, b.Clear(at(time.Millisecond), 1))
	assert.Equal(t, b.Ask(at(time.Second), 1, "h1/1"), Free)
	r.Losses[0].Ago = time.Second
	assert.Check(t, b.Merge(at(time.Second), r, false), "old word of a cleared request was taken in")
	assert.Equal(t, b.State(at(time.Second), 1), Clean)
}

// A zone dies while a request is in flight there; sent again at once, it meets
// a second dying target of the zone. The other losses show that it is not the
// cause, also if they are heard of only after its quarantine began.
func TestMassLossQuarantinesNobody(t *testing.T) {
	for _, before := range []bool{true, false} {
		b := NewTracker(DefaultLimits())
		others := func() {
			lose(b, 5*time.Millisecond, 7, "t3", false)
			lose(b, 6*time.Millisecond, 8, "t4", false)
		}
		lose(b, 0, 1, "t1", false)
		if before {
			others()
		}
		lose(b, 10*time.Millisecond, 1, "t2", true)
		if !before {
			others()
		}
		assert.Equal(t, b.State(at(300*time.Millisecond), 1), Suspect)
	}
}

// A common request runs at two targets that crash together. Having been seen
// answered, it gets a trial; a request never seen answered does not.
func TestKnownGoodRequestGetsItsTrial(t *testing.T) {
	b := NewTracker(DefaultLimits())
	for _, target := range []ports.RunID{"t1", "t2"} {
		loss := Loss{Target: target, At: at(0)}
		b.BrokeOff(at(0), Run{Digest: 1, Loss: loss, KnownGood: true})
		b.BrokeOff(at(0), Run{Digest: 2, Loss: loss})
	}
	assert.Equal(t, b.State(at(0), 1), Suspect)
	assert.Equal(t, b.State(at(0), 2), Quarantined)

	other := NewTracker(DefaultLimits())
	r, _ := b.Record(at(0), 2)
	other.Merge(at(0), r, true)
	assert.Equal(t, other.State(at(0), 2), Suspect)
	r, _ = other.Record(at(0), 2)
	b.Merge(at(0), r, false)
	assert.Equal(t, b.State(at(time.Second), 2), Suspect)
}

// A common request is lost with two targets of a dying zone and then, tried
// alone, with a third; a rare one is lost with the other two. Each seems to
// explain what the other does not. The common one is known to be good, so its
// losses are the zone's, and neither is refused.
func TestCommonRequestInADyingZone(t *testing.T) {
	b := NewTracker(DefaultLimits())
	for i, target := range []ports.RunID{"t1", "t2", "t3"} {
		loss := Loss{Target: target, At: at(0), Trial: i == 2}
		b.BrokeOff(at(0), Run{Digest: 1, Loss: loss, KnownGood: true})
	}
	lose(b, 0, 2, "t4", false)
	lose(b, 0, 2, "t5", true)
	assert.Equal(t, b.State(at(0), 1), Quarantined)
	assert.Equal(t, b.State(at(time.Second), 2), Suspect)
	assert.Equal(t, b.State(at(time.Second), 1), Suspect)
}

// Three requests are each lost with two of six targets, so that none is left
// unexplained. So many at once speak for a dying zone; two do not.
func TestManyAccusedAtOnceExcuseEachOther(t *testing.T) {
	for n, want := range map[Digest]State{2: Quarantined, 3: Suspect} {
		b := NewTracker(DefaultLimits())
		targets := []ports.RunID{"t1", "t2", "t3", "t4", "t5", "t6"}
		for d := range n {
			lose(b, 0, d+1, targets[2*d], false)
			lose(b, 0, d+1, targets[2*d+1], true)
		}
		for d := range n {
			assert.Equal(t, b.State(at(time.Second), d+1), want)
		}
	}
}

func TestForgiveness(t *testing.T) {
	l := DefaultLimits()
	b := NewTracker(l)
	lose(b, 0, 1, "t1", false)
	lose(b, time.Second, 1, "t2", true)
	for m := time.Duration(0); m < 9; m++ {
		assert.Equal(t, b.Sent(at(m*5*time.Minute), 1), Quarantined)
	}
	quiet := 40*time.Minute + l.QuietFor
	assert.Equal(t, b.State(at(quiet-1), 1), Quarantined)
	assert.Equal(t, b.State(at(quiet), 1), Suspect)
	assert.Equal(t, lose(b, quiet, 1, "t3", true), Quarantined)
	assert.Equal(t, b.State(at(quiet+l.QuietFor), 1), Suspect)
	assert.Equal(t, b.State(at(quiet+l.QuietFor+l.SuspectFor), 1), Clean)
}

func TestMemoryIsBounded(t *testing.T) {
	b := NewTracker(small())
	lose(b, 0, 1, "t1", false)
	lose(b, time.Second, 1, "t2", true)
	for d := Digest(2); d < 100; d++ {
		lose(b, time.Duration(d)*time.Minute/100, d, "t9", false)
	}
	assert.Equal(t, b.Len(), 4)
	assert.Equal(t, b.State(at(2*time.Second), 1), Quarantined)
}

func TestBadRecordsAreNotTakenIn(t *testing.T) {
	b := NewTracker(DefaultLimits())
	for _, r := range []Record{
		{Digest: 1},
		{Digest: 1, State: Suspect},
		{Digest: 1, State: 9, Losses: []LossRecord{{Target: "t"}}},
		{Digest: 1, State: Quarantined, Quiet: -1, Losses: []LossRecord{{Target: "t"}}},
		{Digest: 1, State: Suspect, Losses: make([]LossRecord, maxLosses+1)},
	} {
		b.Merge(at(0), r, false)
	}
	assert.Equal(t, b.Len(), 0)
}

// A request crashes the only target of its service, which is back under its name in a
// moment and gets the request once more, tried alone. Both crashes count: with the losses
// taken for one by the target's name the request was never held, and took the target down
// each time that it was back.
func TestCrashesOfOneTargetsRunsCount(t *testing.T) {
	b := NewTracker(DefaultLimits())
	first, second := ports.NewRunID("t1", 100), ports.NewRunID("t1", 200)
	assert.Equal(t, lose(b, 0, 1, first, false), Suspect)
	assert.Equal(t, lose(b, 100*time.Millisecond, 1, second, true), Quarantined)
}

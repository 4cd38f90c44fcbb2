package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

var start = time.Date(2026, 2, 13, 6, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// breakRun records a broken run at the given time.
func breakRun(b *Tracker, when time.Duration, d Digest, target ports.RunID, trial bool) State {
	return b.RecordBrokenRun(at(when), BrokenRun{Digest: d, Loss: Loss{Target: target, At: at(when), Trial: trial}})
}

func smallLimits() Limits {
	l := DefaultLimits()
	l.MaxEntries = 4
	return l
}

// One crash breaks the connections of two runs of the same request; that counts as one lost
// target. Only the loss in the trial at a second target is enough for a quarantine.
func TestQuarantineNeedsTwoTargets(t *testing.T) {
	b := NewTracker(DefaultLimits())
	assert.Equal(t, breakRun(b, 0, 1, "t1", false), Suspect)
	assert.Equal(t, breakRun(b, time.Millisecond, 1, "t1", false), Suspect)
	assert.Equal(t, b.Admit(at(time.Second), 1, "h1/1"), Exclusive)
	assert.Equal(t, b.Admit(at(time.Second), 1, "h2/1"), Busy)
	assert.Equal(t, breakRun(b, 2*time.Second, 1, "t2", true), Quarantined)
	b.EndTrial(1, "h1/1")
	assert.Equal(t, b.Admit(at(2*time.Second), 1, "h2/2"), Busy)
	assert.Equal(t, b.Admit(at(3*time.Second), 1, "h2/3"), Refused)
}

func TestResponseClearsAtOnce(t *testing.T) {
	b := NewTracker(DefaultLimits())
	breakRun(b, 0, 1, "t1", false)
	r, ok := b.Record(at(0), 1)
	assert.Check(t, ok)
	assert.Check(t, b.Clear(at(time.Millisecond), 1))
	assert.Equal(t, b.Admit(at(time.Second), 1, "h1/1"), Unrestricted)
	r.Losses[0].SinceLoss = time.Second
	assert.Check(t, b.Merge(at(time.Second), r, false), "an old record of a cleared request was merged")
	assert.Equal(t, b.State(at(time.Second), 1), Clean)
}

// A zone fails while a request is in flight there, and the retry runs on a second failing target
// of the zone. The other losses show that the request is not the cause, even if they are reported
// only after the quarantine began.
func TestMassLossQuarantinesNobody(t *testing.T) {
	for _, before := range []bool{true, false} {
		b := NewTracker(DefaultLimits())
		otherLosses := func() {
			breakRun(b, 5*time.Millisecond, 7, "t3", false)
			breakRun(b, 6*time.Millisecond, 8, "t4", false)
		}
		breakRun(b, 0, 1, "t1", false)
		if before {
			otherLosses()
		}
		breakRun(b, 10*time.Millisecond, 1, "t2", true)
		if !before {
			otherLosses()
		}
		assert.Equal(t, b.State(at(300*time.Millisecond), 1), Suspect)
	}
}

// A common request runs at two targets that crash together. If it was answered before it gets a
// trial; a request that was never answered does not.
func TestKnownGoodRequestGetsATrial(t *testing.T) {
	b := NewTracker(DefaultLimits())
	for _, target := range []ports.RunID{"t1", "t2"} {
		loss := Loss{Target: target, At: at(0)}
		b.RecordBrokenRun(at(0), BrokenRun{Digest: 1, Loss: loss, KnownGood: true})
		b.RecordBrokenRun(at(0), BrokenRun{Digest: 2, Loss: loss})
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

// A common request is lost with two targets of a failing zone and, in a trial, with a third; a
// rare request is lost with two others. Each seems to explain the losses of the other. Since the
// common one is known to be good, its losses are attributed to the zone, and neither request is
// refused.
func TestCommonRequestInAFailingZone(t *testing.T) {
	b := NewTracker(DefaultLimits())
	for i, target := range []ports.RunID{"t1", "t2", "t3"} {
		loss := Loss{Target: target, At: at(0), Trial: i == 2}
		b.RecordBrokenRun(at(0), BrokenRun{Digest: 1, Loss: loss, KnownGood: true})
	}
	breakRun(b, 0, 2, "t4", false)
	breakRun(b, 0, 2, "t5", true)
	assert.Equal(t, b.State(at(0), 1), Quarantined)
	assert.Equal(t, b.State(at(time.Second), 2), Suspect)
	assert.Equal(t, b.State(at(time.Second), 1), Suspect)
}

// Three requests are each lost with two of six targets, so that no loss is unexplained. That many
// at once indicate a failing zone; two do not.
func TestManyAccusedAtOnceAreNotBlamed(t *testing.T) {
	for n, want := range map[Digest]State{2: Quarantined, 3: Suspect} {
		b := NewTracker(DefaultLimits())
		targets := []ports.RunID{"t1", "t2", "t3", "t4", "t5", "t6"}
		for d := range n {
			breakRun(b, 0, d+1, targets[2*d], false)
			breakRun(b, 0, d+1, targets[2*d+1], true)
		}
		for d := range n {
			assert.Equal(t, b.State(at(time.Second), d+1), want)
		}
	}
}

func TestQuarantineExpires(t *testing.T) {
	l := DefaultLimits()
	b := NewTracker(l)
	breakRun(b, 0, 1, "t1", false)
	breakRun(b, time.Second, 1, "t2", true)
	for m := time.Duration(0); m < 9; m++ {
		assert.Equal(t, b.RecordSent(at(m*5*time.Minute), 1), Quarantined)
	}
	quiet := 40*time.Minute + l.ReleaseAfterIdle
	assert.Equal(t, b.State(at(quiet-1), 1), Quarantined)
	assert.Equal(t, b.State(at(quiet), 1), Suspect)
	assert.Equal(t, breakRun(b, quiet, 1, "t3", true), Quarantined)
	assert.Equal(t, b.State(at(quiet+l.ReleaseAfterIdle), 1), Suspect)
	assert.Equal(t, b.State(at(quiet+l.ReleaseAfterIdle+l.SuspectTTL), 1), Clean)
}

func TestMemoryIsBounded(t *testing.T) {
	b := NewTracker(smallLimits())
	breakRun(b, 0, 1, "t1", false)
	breakRun(b, time.Second, 1, "t2", true)
	for d := Digest(2); d < 100; d++ {
		breakRun(b, time.Duration(d)*time.Minute/100, d, "t9", false)
	}
	assert.Equal(t, b.Len(), 4)
	assert.Equal(t, b.State(at(2*time.Second), 1), Quarantined)
}

func TestInvalidRecordsAreIgnored(t *testing.T) {
	b := NewTracker(DefaultLimits())
	for _, r := range []Record{
		{Digest: 1},
		{Digest: 1, State: Suspect},
		{Digest: 1, State: 9, Losses: []LossRecord{{Target: "t"}}},
		{Digest: 1, State: Quarantined, SinceSent: -1, Losses: []LossRecord{{Target: "t"}}},
		{Digest: 1, State: Suspect, Losses: make([]LossRecord, maxLosses+1)},
	} {
		b.Merge(at(0), r, false)
	}
	assert.Equal(t, b.Len(), 0)
}

// A request crashes the only target of its service, which restarts under the same ID and gets the
// request again in a trial. Both crashes must count: identified by the target's ID alone they
// would be one loss, and the request would never be quarantined and crash the target after every
// restart.
func TestCrashesOfOneTargetsRunsCount(t *testing.T) {
	b := NewTracker(DefaultLimits())
	first, second := ports.NewRunID("t1", 100), ports.NewRunID("t1", 200)
	assert.Equal(t, breakRun(b, 0, 1, first, false), Suspect)
	assert.Equal(t, breakRun(b, 100*time.Millisecond, 1, second, true), Quarantined)
}

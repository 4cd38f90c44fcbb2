package suspicion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that stays suspected although every target that it seemed to crash is
// alive, and against records of other hosts that bring the suspicion back.
func TestLossesOfLivingTargetsAreWithdrawn(t *testing.T) {
	b := NewTracker(DefaultLimits())
	breakRun(b, 0, 1, "t1", false)
	assert.Equal(t, breakRun(b, time.Millisecond, 1, "t2", false), Quarantined)
	old, _ := b.Record(at(2*time.Millisecond), 1)
	assert.Equal(t, len(b.RecordAlive(at(10*time.Millisecond), "t1")), 0)
	assert.Equal(t, b.State(at(10*time.Millisecond), 1), Suspect)
	assert.Check(t, !b.Merge(at(12*time.Millisecond), aged(old, 10*time.Millisecond), false))
	assert.Equal(t, b.State(at(12*time.Millisecond), 1), Suspect)
	assert.DeepEqual(t, b.RecordAlive(at(20*time.Millisecond), "t2"), []Exonerated{{Digest: 1, Was: Suspect}})
	assert.Equal(t, b.State(at(20*time.Millisecond), 1), Clean)
	assert.Check(t, b.Merge(at(22*time.Millisecond), aged(old, 20*time.Millisecond), false), "the sender is not told")
	assert.Equal(t, b.State(at(22*time.Millisecond), 1), Clean)
}

// Guards against a poison request that is let off because of a target that it did not crash, or
// that was alive before it did.
func TestLossesOfOtherTargetsAndLaterOnesStay(t *testing.T) {
	b := NewTracker(DefaultLimits())
	b.RecordAlive(at(0), "t1")
	breakRun(b, time.Millisecond, 1, "t1", false)
	b.RecordAlive(at(2*time.Millisecond), "t3")
	assert.Equal(t, breakRun(b, 3*time.Millisecond, 1, "t2", false), Quarantined)
	assert.Equal(t, len(b.RecordAlive(at(2*time.Second), "t1")), 0, "after the loss window another run may have the address")
	assert.Check(t, b.Settled(at(2*time.Second), 1))
}

// Guards against a request that stays suspected on hosts that handle the news of its clearance
// before an earlier record of it.
func TestClearanceMayOvertakeRecords(t *testing.T) {
	there, here := NewTracker(DefaultLimits()), NewTracker(DefaultLimits())
	breakRun(there, 0, 1, "t1", false)
	r, _ := there.Record(at(0), 1)
	here.ClearElsewhere(at(2*time.Millisecond), 1)
	assert.Check(t, here.Merge(at(3*time.Millisecond), r, false))
	assert.Equal(t, here.State(at(3*time.Millisecond), 1), Clean)
	assert.Check(t, !here.Merge(at(time.Second), r, false), "a later loss is evidence")
	assert.Equal(t, here.State(at(time.Second), 1), Suspect)
}

// aged returns a record as sent a while later.
func aged(r Record, by time.Duration) Record {
	r.Age += by
	r.SinceSent += by
	r.Losses = append([]LossRecord(nil), r.Losses...)
	for i := range r.Losses {
		r.Losses[i].SinceLoss += by
	}
	return r
}

package suspicion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// breakUpload records a loss of an upload of which a part had been sent.
func breakUpload(b *Tracker, after time.Duration, target ports.RunID, trial bool, sent Part) State {
	return b.RecordBrokenRun(at(after), BrokenRun{
		Digest: 1, Uncertain: true,
		Loss: Loss{Target: target, At: at(after), Trial: trial, Sent: sent},
	})
}

// Guards against an upload that crashes targets and is cleared by the responses to another one that begins
// alike, and against one that stays suspected although it was answered.
func TestUploadsAreClearedByEqualContentOnly(t *testing.T) {
	b := NewTracker(DefaultLimits())
	breakUpload(b, 0, "t1", false, Part{Bytes: 128, Hash: 7})
	assert.Check(t, !b.ClearedBy(1, []Part{{64, 1}, {128, 8}, {200, 9}}), "other content")
	assert.Check(t, !b.ClearedBy(1, []Part{{64, 1}}), "less content")
	assert.Check(t, b.ClearedBy(1, []Part{{64, 1}, {128, 7}, {200, 9}}), "the same as far as it was sent")
	breakUpload(b, 2*time.Second, "t2", false, Part{})
	assert.Check(t, !b.ClearedBy(1, nil))
	assert.Check(t, b.ClearedBy(2, nil), "other requests")
}

// Guards against an upload that crashes targets without end since others of the same digest are served, and
// against those others, which are refused for minutes once it is sent no more.
func TestUploadsOfUncertainIdentity(t *testing.T) {
	const every = 50 * time.Millisecond
	for _, poisonFor := range []time.Duration{time.Minute, time.Hour, 5 * time.Second} {
		b := NewTracker(DefaultLimits())
		crashes, late, third := 0, 0, time.Duration(0)
		lastCrash, refusedUntil := time.Duration(0), time.Duration(0)
		for now := time.Duration(0); now < poisonFor+15*time.Minute; now += every {
			if now < poisonFor && now%time.Second == 0 {
				if a := b.Admit(at(now), 1, "poison"); a == Unrestricted || a == Exclusive {
					if crashes++; crashes == 3 {
						third = now
					} else if crashes > 3 && now-third > 3*time.Second {
						late++
					}
					breakUpload(b, now, ports.RunID(fmt.Sprint("t", crashes)), a == Exclusive, Part{Bytes: 128, Hash: 7})
					b.EndTrial(1, "poison")
					lastCrash = now
				}
			}
			switch b.Admit(at(now), 1, "innocent") {
			case Refused:
				refusedUntil = now
			case Exclusive:
				assert.Check(t, !b.ClearedBy(1, []Part{{128, 8}}))
				b.EndTrial(1, "innocent")
			}
		}
		t.Logf("sent for %s: %d crashes, %d of them late, innocent ones refused until %s after the last", poisonFor, crashes, late, refusedUntil-lastCrash)
		assert.Check(t, late <= 3, "%d late crashes", late)
		if poisonFor < time.Minute {
			assert.Check(t, refusedUntil-lastCrash <= 3*time.Second, "%s", refusedUntil-lastCrash)
			assert.Equal(t, b.State(at(poisonFor+15*time.Minute), 1), Clean, "isolated for ten minutes after the last loss")
		}
	}
}

// Guards against hosts that release a request one after the other, so that each of them lets it crash
// another target.
func TestReleasesAreKnownToOtherHosts(t *testing.T) {
	here, there := NewTracker(DefaultLimits()), NewTracker(DefaultLimits())
	breakUpload(here, 0, "t1", false, Part{})
	breakUpload(here, time.Second, "t2", true, Part{})
	old, _ := here.Record(at(time.Second), 1)
	there.Merge(at(time.Second), old, false)
	assert.Equal(t, there.State(at(2*time.Second), 1), Quarantined)
	assert.Equal(t, here.State(at(4*time.Second), 1), Suspect)
	released, _ := here.Record(at(4*time.Second), 1)
	there.Merge(at(4*time.Second), released, false)
	assert.Equal(t, there.State(at(4*time.Second), 1), Suspect)
	here.Merge(at(4*time.Second), aged(old, 3*time.Second), false)
	assert.Equal(t, here.State(at(4*time.Second), 1), Suspect, "a record from before the release")
	breakUpload(there, 5*time.Second, "t3", true, Part{})
	again, _ := there.Record(at(5*time.Second), 1)
	here.Merge(at(5*time.Second), again, false)
	for _, b := range []*Tracker{here, there} {
		assert.Equal(t, b.State(at(7*time.Second), 1), Quarantined)
		assert.Equal(t, b.State(at(8*time.Second), 1), Suspect)
	}
}

// Guards against an upload that crashes targets anew every ten minutes, because it is forgotten as soon as it
// has been refused for so long and an innocent one is sent first.
func TestUploadRunsAloneAfterALongRefusal(t *testing.T) {
	b := NewTracker(DefaultLimits())
	now, crashes := time.Duration(0), 0
	for range 3 {
		for range 2 {
			if a := b.Admit(at(now), 1, "poison"); a == Refused || a == Busy {
				break
			}
			crashes++
			breakUpload(b, now, ports.RunID(fmt.Sprint("t", crashes)), crashes > 1, Part{Bytes: 128, Hash: 7})
			b.EndTrial(1, "poison")
		}
		now += 3 * time.Second
	}
	assert.Equal(t, crashes, 4)
	for ; now < 25*time.Minute; now += time.Second {
		if a := b.Admit(at(now), 1, "innocent"); a == Exclusive {
			b.EndTrial(1, "innocent")
		}
		a := b.Admit(at(now), 1, "innocent")
		assert.Check(t, a != Unrestricted || now > 20*time.Minute, "after %s", now)
		b.EndTrial(1, "innocent")
	}
	assert.Equal(t, b.State(at(now), 1), Clean)
}

// Guards against an upload that crashes targets without end after eight losses, because hosts that have not
// released it yet tell of the old ones.
func TestReleasedUploadIsAccusedWhateverOldLossesAreToldOf(t *testing.T) {
	b := NewTracker(DefaultLimits())
	breakUpload(b, 0, "t0", false, Part{})
	breakUpload(b, 300*time.Millisecond, "t1", true, Part{})
	old, _ := b.Record(at(300*time.Millisecond), 1)
	for i := range maxLosses {
		since := time.Duration(i) * 10 * time.Millisecond
		old.Losses = append(old.Losses[:i:i], LossRecord{Target: ports.RunID(fmt.Sprint("t", i)), SinceLoss: since})
	}
	assert.Equal(t, b.RecordSent(at(4*time.Second), 1), Suspect)
	b.Merge(at(4*time.Second), aged(old, 3700*time.Millisecond), false)
	assert.Equal(t, breakUpload(b, 5*time.Second, "t9", true, Part{}), Quarantined)
}

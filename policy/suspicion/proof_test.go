package suspicion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

const ms = time.Millisecond

// quarantineAt records two losses 1 ms apart, at t1 and t2, the second in a trial.
func quarantineAt(b *Tracker, when time.Duration) {
	breakRun(b, when, 1, "t1", false)
	breakRun(b, when+ms, 1, "t2", true)
}

// answer records an answer to a request that was sent on a connection opened a while before.
func answer(b *Tracker, target ports.RunID, sent, opened time.Duration) Withdrawal {
	_, w := b.RecordAnswer(at(sent+2*ms), Answer{Target: target, Sent: at(sent), Opened: at(opened)})
	return w
}

// Guards against a request that stays quarantined although the targets that lost its responses
// answer.
func TestAnswersAfterALossExonerate(t *testing.T) {
	b := NewTracker(DefaultLimits())
	quarantineAt(b, 0)
	assert.Equal(t, len(answer(b, "t1", 102*ms, 103*ms).Affected), 1)
	assert.Equal(t, b.State(at(110*ms), 1), Suspect)
	assert.DeepEqual(t, answer(b, "t2", 103*ms, 104*ms).Exonerated, []Exonerated{{Digest: 1, Was: Suspect}})
	assert.Equal(t, b.State(at(110*ms), 1), Clean)
}

// Guards against a process that is exiting and answers on another connection for a moment, and
// against an answer that was on its way when the process crashed.
func TestAnswerToARequestSentRightAfterALossProvesNothing(t *testing.T) {
	l := DefaultLimits()
	b := NewTracker(l)
	quarantineAt(b, 0)
	for _, sent := range []time.Duration{-10 * ms, 0, l.ProofGrace - ms} {
		assert.Equal(t, len(answer(b, "t1", sent, -time.Second).Affected), 0, "sent after %s", sent)
	}
	assert.Check(t, b.Settled(at(time.Second), 1))
}

// Guards against the next run at an address that answers in place of the one that crashed, while the
// list of targets does not show it yet.
func TestAnswerOnALaterConnectionIsProofForAWhileOnly(t *testing.T) {
	l := DefaultLimits()
	for _, c := range []struct {
		target       ports.RunID
		sent, opened time.Duration
		proof        bool
	}{
		{"t1", l.ProofWindow - ms, l.ProofWindow - ms, true},
		{"t1", l.ProofWindow + ms, l.ProofWindow + ms, false},
		{"t1", time.Minute, l.RestartTime - ms, true}, // the connection is older than any restart
		{"t1", time.Minute, l.RestartTime + ms, false},
		{"t1@100", l.LossWindow - ms, l.LossWindow - ms, true},
		{"t1@100", l.LossWindow + ms, l.LossWindow + ms, false},
	} {
		b := NewTracker(l)
		breakRun(b, 0, 1, c.target, false)
		assert.Equal(t, len(answer(b, c.target, c.sent, c.opened).Affected) == 1, c.proof, "%+v", c)
	}
}

// Guards against the answer of another incarnation, and against one of a target that has just started.
func TestAnswersOfOtherIncarnationsProveNothing(t *testing.T) {
	b := NewTracker(DefaultLimits())
	first, second := ports.NewRunID("t1", 100), ports.NewRunID("t1", 200)
	breakRun(b, 0, 1, first, false)
	assert.Equal(t, len(answer(b, second, 200*ms, 200*ms).Affected), 0)
	_, w := b.RecordAnswer(at(201*ms), Answer{Target: first, Sent: at(200 * ms), Opened: at(200 * ms), Cold: true})
	assert.Equal(t, len(w.Affected), 0)
	assert.Equal(t, b.State(at(210*ms), 1), Suspect)
}

// Guards against a poison request that crashes one target after the other while each is replaced
// at its address before the hosts know.
func TestAnswersThatMayComeFromANewRunExonerateAFewTimesOnly(t *testing.T) {
	l := DefaultLimits()
	b := NewTracker(l)
	crashes := 0
	for ; crashes < 20 && !b.Settled(at(time.Duration(crashes)*time.Second+900*ms), 1); crashes++ {
		when := time.Duration(crashes) * time.Second
		breakRun(b, when, 1, "t1", crashes > 0)
		answer(b, "t1", when+l.RestartTime+50*ms, when+l.RestartTime+50*ms)
		want := Exclusive // and never Unrestricted: the request runs alone until it is answered
		if crashes > l.MaxWithdrawn {
			want = Refused
		}
		assert.Equal(t, b.Admit(at(when+500*ms), 1, "h1"), want, "crash %d", crashes)
		b.EndTrial(1, "h1")
	}
	assert.Check(t, crashes <= l.MaxWithdrawn+defaultMinLosses, "%d crashes", crashes)
	b.Clear(at(time.Minute), 1)
	breakRun(b, time.Minute, 1, "t1", false)
	assert.Equal(t, len(answer(b, "t1", time.Minute+200*ms, time.Minute+200*ms).Affected), 1, "a complete response begins anew")
}

// Guards against a request that goes on running alone although a later answer shows that its target was not
// restarted.
func TestLaterProofConfirmsAWithdrawal(t *testing.T) {
	l := DefaultLimits()
	b := NewTracker(l)
	breakRun(b, 0, 1, "t1", false)
	late := l.RestartTime + 50*ms
	assert.Equal(t, len(answer(b, "t1", late, late).Exonerated), 0)
	assert.Equal(t, b.State(at(late), 1), Suspect)
	assert.DeepEqual(t, answer(b, "t1", time.Second, -time.Second).Exonerated, []Exonerated{{Digest: 1, Was: Suspect}})
	assert.Equal(t, b.State(at(time.Second), 1), Clean)
	assert.Check(t, !b.Active())
}

// Guards against a request that is refused while it is being found out whether its targets are alive,
// and against one that is held for ever because the host that does so has failed.
func TestRequestIsHeldWhileItsTargetsAreVerified(t *testing.T) {
	l := DefaultLimits()
	b := NewTracker(l)
	for i, target := range []ports.RunID{"t1", "t2"} {
		b.RecordBrokenRun(at(0), BrokenRun{Digest: 1, Loss: Loss{Target: target, At: at(0), Trial: i == 1, Pending: true}})
	}
	r, _ := b.Record(at(0), 1)
	other := NewTracker(l)
	other.Merge(at(0), r, false)
	b.EndVerification("t1")
	assert.Check(t, !b.Settled(at(l.VerifyTimeout-ms), 1), "t2 is still being verified")
	b.EndVerification("t2")
	assert.Check(t, b.Settled(at(l.VerifyTimeout-ms), 1))
	assert.Check(t, !other.Settled(at(l.VerifyTimeout-ms), 1))
	assert.Check(t, other.Settled(at(l.VerifyTimeout), 1))
}

// Guards against a poison request that is excused by responses that other targets lost.
func TestLostResponsesOfOthersExcuseNobody(t *testing.T) {
	b := NewTracker(DefaultLimits())
	quarantineAt(b, 0)
	lost := Loss{Target: "t3", At: at(10 * ms), Pending: true}
	b.RecordBrokenRun(at(10*ms), BrokenRun{Digest: 2, Loss: lost})
	assert.Check(t, !b.Settled(at(300*ms), 1), "t3 is still being verified")
	answer(b, "t3", 310*ms, 112*ms)
	assert.Check(t, b.Settled(at(320*ms), 1))
}

// Guards against a poison request that is excused again and again where targets are lost all the time.
func TestRequestIsExcusedAFewTimesOnly(t *testing.T) {
	b := NewTracker(DefaultLimits())
	runs := 0
	for ; runs < 20 && !b.Settled(at(time.Duration(runs)*time.Second), 1); runs++ {
		when := time.Duration(runs) * time.Second
		breakRun(b, when, 1, ports.NewRunID("t1", ports.Incarnation(runs+1)), runs > 0)
		breakRun(b, when+ms, 2, ports.NewRunID("t2", ports.Incarnation(runs+1)), false)
	}
	assert.Check(t, runs <= defaultMinLosses+maxExcuses, "%d runs", runs)
}

// Guards against a loss that this host observed and that is withdrawn for a proof which another host
// found earlier, and that was delayed.
func TestProofsOfOtherHostsLeaveOwnLosses(t *testing.T) {
	here, there := NewTracker(DefaultLimits()), NewTracker(DefaultLimits())
	breakRun(there, 0, 1, "t1", false)
	r, _ := there.Record(at(0), 1)
	here.Merge(at(ms), r, false)
	p, _ := there.RecordAnswer(at(103*ms), Answer{Target: "t1", Sent: at(101 * ms), Opened: at(101 * ms)})
	prompt, ok := p.Record(at(103 * ms)).Proof(at(104 * ms))
	assert.Check(t, ok)
	here.RecordProof(at(104*ms), prompt, false)
	assert.Equal(t, here.State(at(104*ms), 1), Clean)
	breakRun(here, 800*ms, 2, "t1", false)
	delayed, _ := p.Record(at(103 * ms)).Proof(at(time.Second)) // by its age it covers the later loss
	assert.Check(t, delayed.covers(at(800*ms)))
	here.RecordProof(at(time.Second), delayed, false)
	assert.Equal(t, here.State(at(time.Second), 2), Suspect)
}

// Guards against malformed proofs from another host.
func TestInvalidProofsAreRejected(t *testing.T) {
	for _, r := range []ProofRecord{{}, {SinceFrom: -1}, {SinceFrom: ms, SinceUntil: -ms}, {SinceFrom: ms, SinceUntil: 2 * ms}} {
		_, ok := r.Proof(at(0))
		assert.Check(t, !ok, "%+v", r)
	}
}

// Guards against refusing an innocent request because another host told of its quarantine, which that
// host had not confirmed and dropped later.
func TestQuarantineThatAnotherHostHasNotConfirmedIsNotAdoptedAsConfirmed(t *testing.T) {
	l := DefaultLimits()
	zoneLoss := func(b *Tracker, from time.Duration) {
		for i, target := range []ports.RunID{"t1", "t2"} {
			when := from + time.Duration(i)*ms
			b.RecordBrokenRun(at(when), BrokenRun{Digest: 1, Loss: Loss{Target: target, At: at(when), Trial: i == 1, Pending: true}})
		}
		b.RecordLostTarget(at(from+3*ms), "t3")
	}
	b, other := NewTracker(l), NewTracker(l)
	zoneLoss(b, 0)
	zoneLoss(other, 20*ms)
	b.EndVerification("t1")
	b.EndVerification("t2")
	assert.Equal(t, b.State(at(l.SettleTime+2*ms), 1), Suspect, "excused by the loss of t3")

	r, ok := other.Record(at(l.SettleTime+100*ms), 1)
	assert.Check(t, ok && r.State == Quarantined && !r.Settled)
	b.Merge(at(l.SettleTime+100*ms), r, false)
	assert.Check(t, !b.Settled(at(l.SettleTime+100*ms), 1))
	assert.Equal(t, b.State(at(2*time.Second), 1), Suspect)
	assert.Equal(t, other.State(at(2*time.Second), 1), Suspect)
}

// A quarantine that another host has confirmed applies at once, also on a host that knows nothing of the
// targets that were lost.
func TestConfirmedQuarantineIsAdoptedAsConfirmed(t *testing.T) {
	b, other := NewTracker(DefaultLimits()), NewTracker(DefaultLimits())
	quarantineAt(other, 0)
	r, ok := other.Record(at(2*time.Second), 1)
	assert.Check(t, ok && r.Settled)
	b.Merge(at(2*time.Second), r, false)
	assert.Check(t, b.Settled(at(2*time.Second), 1))
}

// Guards against refusing a page that is known to be well because it lost its responses at the targets that
// a request crashed right after.
func TestRequestAnsweredBeforeIsNotBlamedForTargetsThatAnotherCrashed(t *testing.T) {
	const page, poison = 1, 2
	b := NewTracker(DefaultLimits())
	lose := func(after time.Duration, d Digest, target ports.RunID, trial bool) {
		b.RecordBrokenRun(at(after), BrokenRun{Digest: d, Loss: Loss{Target: target, At: at(after), Trial: trial}, KnownGood: d == page})
	}
	lose(0, page, "t1", false)
	lose(5*ms, page, "t2", true)
	lose(60*ms, poison, "t2", false)
	lose(80*ms, poison, "t1", true)
	assert.Equal(t, b.State(at(400*ms), page), Suspect)
	assert.Equal(t, b.State(at(400*ms), poison), Quarantined)
	assert.Check(t, b.Settled(at(400*ms), poison))
}

// Guards against a request that crashes targets and is excused by each host in turn, and against an innocent
// one whose only excuse counts once for each host.
func TestExcusesCountOnceForAllHosts(t *testing.T) {
	l := DefaultLimits()
	hosts := []*Tracker{NewTracker(l), NewTracker(l), NewTracker(l)}
	crashes := 0
	crash := func(when time.Duration) {
		for _, b := range hosts {
			target := ports.RunID(fmt.Sprintf("t%d", crashes))
			b.RecordBrokenRun(at(when), BrokenRun{Digest: 1, Loss: Loss{Target: target, At: at(when), Trial: crashes > 0}})
			b.RecordLostTarget(at(when), "other-"+target)
		}
		crashes++
	}
	crash(0)
	for i := time.Duration(1); i <= maxExcuses; i++ {
		crash(i * time.Second)
		for _, b := range hosts {
			now := at(i*time.Second + l.SettleTime)
			assert.Equal(t, b.State(now, 1), Suspect, "excused %d times", i)
			r, _ := b.Record(now, 1)
			for _, other := range hosts {
				other.Merge(now, r, false)
			}
		}
	}
	crash(3 * time.Second)
	r, _ := hosts[0].Record(at(3*time.Second), 1)
	for i, b := range hosts {
		assert.Check(t, b.Settled(at(4*time.Second), 1), "host %d", i)
	}

	late := NewTracker(l)
	late.Merge(at(3*time.Second), r, false)
	late.RecordLostTarget(at(3*time.Second), "another")
	assert.Check(t, late.Settled(at(4*time.Second), 1), "a host that excused it never has no excuse left")
}

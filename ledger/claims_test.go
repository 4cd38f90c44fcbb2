package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// inWorld runs a scenario over started hosts in virtual time.
func inWorld(t *testing.T, n int, opts Options, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(n, opts)
		w.start()
		defer w.stop()
		f(t, w)
	})
}

func result(t *testing.T, got outcome.Result, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	assert.Check(t, got.Outcome == o && got.Reason == r, "got %s/%s, want %s/%s", got.Outcome, got.Reason, o, r)
}

// The caller loses the answer and sends the same key again, to another host. It
// gets the first run's answer; the target runs nothing a second time.
func TestSecondSendGetsTheStoredAnswer(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		first, _ := w.send(t, 0, key("k"))
		time.Sleep(time.Second)
		again, r := w.send(t, 1, key("k"))
		result(t, r, outcome.Answered, outcome.ReasonStored)
		assert.DeepEqual(t, again, first)
		assert.Equal(t, len(w.target.runsOf("k")), 1)
	})
}

// Another caller uses a key that is taken, then the right caller does so with
// another body. Neither gets the answer nor runs, and neither is told not-run:
// the key did run.
func TestAnswerBelongsToCallerAndBody(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		w.send(t, 0, key("k"))
		time.Sleep(time.Second)
		other := key("k")
		other.Caller = "eva"
		_, r := w.send(t, 1, other)
		result(t, r, outcome.Unknown, outcome.ReasonKeyMismatch)
		changed := key("k")
		changed.Digest[0] = 2
		_, r = w.send(t, 1, changed)
		result(t, r, outcome.Unknown, outcome.ReasonKeyMismatch)
		large := key("k")
		large.DigestKnown = false
		_, r = w.send(t, 1, large)
		result(t, r, outcome.Unknown, outcome.ReasonAnswerNotKept)
		assert.Equal(t, len(w.target.runsOf("k")), 1)
	})
}

// A host stands still between its claim and sending. Its caller gives up on it
// and sends again elsewhere, for an hour: each time it is told unknown. Then the
// host wakes and sends; nothing else has run.
func TestPausedHolderFindsItsOwnClaim(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		_, r := w.send(t, 1, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonKeyInProgress)
		time.Sleep(time.Hour)
		_, r = w.send(t, 1, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
		assert.Check(t, c.BeginAttempt())
		c.Finish(context.Background(), w.target.run(key("k")))
		assert.Equal(t, len(w.target.runsOf("k")), 1)
	})
}

// The caller is told not-run by a host that gave up before sending, and sends
// the key again: at once it is refused again, a second later it runs.
func TestGivenUpKeyRunsForALaterSend(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		result(t, c.GiveUp(context.Background()), outcome.NotRun, outcome.ReasonKeyGivenUp)
		assert.Check(t, !c.BeginAttempt())
		_, r := w.send(t, 1, key("k"))
		result(t, r, outcome.NotRun, outcome.ReasonKeyGivenUp)
		time.Sleep(time.Second)
		_, r = w.send(t, 1, key("k"))
		result(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// Bytes have left and nobody knows what became of them. Whatever the holder then
// asks for, the key is not given up.
func TestClaimThatMayHaveRunIsNotGivenUp(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		assert.Check(t, c.BeginAttempt())
		result(t, c.GiveUp(context.Background()), outcome.Unknown, outcome.ReasonKeyUndecided)
		time.Sleep(2 * time.Second)
		_, r := w.send(t, 1, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
	})
}

// A call ends in a way that nobody foresaw, before it was sent. Its claim is
// settled as undecided and keeps nothing in memory.
func TestUndecidedBeforeSending(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		c.MarkUndecided()
		assert.Check(t, !c.BeginAttempt())
		assert.Check(t, w.hosts[0].ledger.Drain(context.Background()))
		_, r := w.send(t, 1, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
	})
}

// A send is held up before its claim. Meanwhile the caller sends again and is
// told not-run. The first send wakes later, finds the key given up, and must not
// run: the caller acts on not-run.
func TestSendFromBeforeTheMarkDoesNotTakeTheKey(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		held := key("k")
		held.Arrived = time.Now()
		c, _, _ := w.begin(t, 0, key("k"))
		result(t, c.GiveUp(context.Background()), outcome.NotRun, outcome.ReasonKeyGivenUp)
		time.Sleep(time.Minute)
		_, r := w.send(t, 1, held)
		result(t, r, outcome.Unknown, outcome.ReasonKeyGivenUp)
		assert.Equal(t, len(w.target.runsOf("k")), 0)
	})
}

// The store goes down and the caller's first send, to another host, may have
// run. The second is told unknown although nothing of it left: not-run would
// speak of both.
func TestOutageIsNotToldAsNotRun(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		assert.Check(t, c.BeginAttempt())
		w.target.run(key("k"))
		c.MarkUndecided()
		w.store.SetFaults(store.Faults{Down: true})
		began := time.Now()
		_, r := w.send(t, 1, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonStoreUnavailable)
		assert.Equal(t, time.Since(began), deadline)
		w.store.SetFaults(store.Faults{})
		time.Sleep(time.Second)
		_, r = w.send(t, 1, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
	})
}

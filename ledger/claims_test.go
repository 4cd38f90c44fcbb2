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

// withCluster runs f with n started hosts in virtual time.
func withCluster(t *testing.T, n int, opts Options, f func(t *testing.T, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(n, opts)
		cl.start()
		defer cl.stop()
		f(t, cl)
	})
}

func checkResult(t *testing.T, got outcome.Result, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	assert.Check(t, got.Outcome == o && got.Reason == r, "got %s/%s, want %s/%s", got.Outcome, got.Reason, o, r)
}

// The caller misses the response and sends the same key to another host. It gets
// the response of the first run, and the target does not run the request again.
func TestSecondSendGetsTheStoredAnswer(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		first, _ := cl.send(t, 0, key("k"))
		time.Sleep(time.Second)
		again, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Answered, outcome.ReasonStored)
		assert.DeepEqual(t, again, first)
		assert.Equal(t, len(cl.target.runsOf("k")), 1)
	})
}

// Another caller uses a key that is taken, then the right caller uses it with
// another body. Neither gets the stored response or runs, and neither is told
// not-run, because the key did run.
func TestAnswerBelongsToCallerAndBody(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		cl.send(t, 0, key("k"))
		time.Sleep(time.Second)
		other := key("k")
		other.Caller = "eva"
		_, r := cl.send(t, 1, other)
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyMismatch)
		changed := key("k")
		changed.Digest[0] = 2
		_, r = cl.send(t, 1, changed)
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyMismatch)
		large := key("k")
		large.DigestKnown = false
		_, r = cl.send(t, 1, large)
		checkResult(t, r, outcome.Unknown, outcome.ReasonAnswerNotKept)
		assert.Equal(t, len(cl.target.runsOf("k")), 1)
	})
}

// A host pauses between its claim and sending. The caller retries on another host
// for an hour and is told unknown each time. Then the first host continues and
// sends; nothing else has run.
func TestPausedHolderFindsItsOwnClaim(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		_, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyInProgress)
		time.Sleep(time.Hour)
		_, r = cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
		assert.Check(t, c.BeginAttempt())
		c.Finish(context.Background(), cl.target.run(key("k")))
		assert.Equal(t, len(cl.target.runsOf("k")), 1)
	})
}

// A host gives up before sending and tells the caller not-run. A retry is refused
// at first and runs a second later.
func TestGivenUpKeyRunsForALaterSend(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		checkResult(t, c.GiveUp(context.Background()), outcome.NotRun, outcome.ReasonKeyGivenUp)
		assert.Check(t, !c.BeginAttempt())
		_, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.NotRun, outcome.ReasonKeyGivenUp)
		time.Sleep(time.Second)
		_, r = cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// The request may have run and its result is not known. The key must not be given
// up, even if the holder calls GiveUp.
func TestClaimThatMayHaveRunIsNotGivenUp(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		assert.Check(t, c.BeginAttempt())
		checkResult(t, c.GiveUp(context.Background()), outcome.Unknown, outcome.ReasonKeyUndecided)
		time.Sleep(2 * time.Second)
		_, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
	})
}

// A call fails unexpectedly before it was sent. Its claim is settled as undecided
// and uses no memory.
func TestUndecidedBeforeSending(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		c.MarkUndecided()
		assert.Check(t, !c.BeginAttempt())
		assert.Check(t, cl.hosts[0].ledger.Drain(context.Background()))
		_, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
	})
}

// A request is delayed before its claim. Meanwhile the caller retries and is told
// not-run. The delayed request finds the key given up and must not run, because the
// caller acts on not-run.
func TestRequestFromBeforeGiveUpDoesNotTakeTheKey(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		delayed := key("k")
		delayed.Arrived = time.Now()
		c, _, _ := cl.begin(t, 0, key("k"))
		checkResult(t, c.GiveUp(context.Background()), outcome.NotRun, outcome.ReasonKeyGivenUp)
		time.Sleep(time.Minute)
		_, r := cl.send(t, 1, delayed)
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyGivenUp)
		assert.Equal(t, len(cl.target.runsOf("k")), 0)
	})
}

// The store goes down after the first request, on another host, may have run. The
// second request gets unknown although nothing of it was sent: not-run would be a
// statement about both.
func TestOutageIsNotToldAsNotRun(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		assert.Check(t, c.BeginAttempt())
		cl.target.run(key("k"))
		c.MarkUndecided()
		cl.store.SetFaults(store.Faults{Down: true})
		began := time.Now()
		_, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonStoreUnavailable)
		assert.Equal(t, time.Since(began), deadline)
		cl.store.SetFaults(store.Faults{})
		time.Sleep(time.Second)
		_, r = cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
	})
}

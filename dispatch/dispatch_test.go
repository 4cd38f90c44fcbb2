package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/upstream"
)

func TestOutcomeOfCallsThatGetNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		method  string
		targets []behaviour
		want    outcome.Outcome
		reason  outcome.Reason
		sends   int
	}{
		{"no target", "POST", nil, outcome.NotRun, outcome.ReasonNoTarget, 0},
		{"every target sheds", "POST", []behaviour{sheds(), sheds(), sheds()}, outcome.NotRun, outcome.ReasonShed, 3},
		{"no connection", "POST", []behaviour{breaks(false), breaks(false), breaks(false)}, outcome.NotRun, outcome.ReasonConnect, 3},
		{"a POST breaks off", "POST", []behaviour{breaks(true), answers(200, "", nil)}, outcome.Unknown, outcome.ReasonBrokeOff, 1},
		{"a GET breaks off everywhere", "GET", []behaviour{breaks(true), breaks(true)}, outcome.Unknown, outcome.ReasonNoTarget, 2},
		{"shed after a break", "GET", []behaviour{breaks(true), sheds(), sheds()}, outcome.Unknown, outcome.ReasonShed, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, tc.targets...)
			r := b.do(t, context.Background(), call(tc.method))
			assert.Equal(t, r.Result.Outcome, tc.want)
			assert.Equal(t, r.Result.Reason, tc.reason)
			assert.Equal(t, len(b.picker.reports()), tc.sends)
		})
	}
}

func TestWhatDidNotRunIsTriedElsewhere(t *testing.T) {
	for _, first := range []behaviour{sheds(), breaks(false)} {
		b := newBench(t, first, answers(http.StatusCreated, "done", nil))
		r := b.do(t, context.Background(), call(http.MethodPost))
		body, err := readReply(t, r)
		assert.NilError(t, err)
		assert.Equal(t, body, "done")
		assert.Equal(t, r.Status, http.StatusCreated)
		assert.Equal(t, len(b.picker.reports()), 2)
	}
}

func TestRetriesStopWhenTheBudgetIsSpent(t *testing.T) {
	b := newBench(t, breaks(true), answers(200, "", nil))
	c := call(http.MethodGet)
	c.Workspace.RetryRatio = 0
	r := b.do(t, context.Background(), c)
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, b.m.RetriesRefused.Get(noRetryBudget).String(), "1")
}

// The caller gets its answer: two targets are down at once, and a quiet workspace
// has no retry saved. Nothing was attempted at either of them.
func TestTargetsThatCanNotBeReachedCostNoBudget(t *testing.T) {
	b := newBench(t, breaks(false), breaks(false), answers(200, "fine", nil))
	c := call(http.MethodPost)
	c.Workspace.RetryRatio = 0
	body, err := readReply(t, b.do(t, context.Background(), c))
	assert.NilError(t, err)
	assert.Equal(t, body, "fine")
}

// The caller gets the first target's own failure: a second attempt was begun
// for a better answer, but there was no target left for it.
func TestFailureIsPassedOnWhenThereIsNoBetterAnswer(t *testing.T) {
	b := newBench(t, answers(http.StatusInternalServerError, "broken", nil))
	r := b.do(t, context.Background(), call(http.MethodGet))
	body, err := readReply(t, r)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusInternalServerError)
	assert.Equal(t, r.Result.Outcome, outcome.Answered)
	assert.Equal(t, body, "broken")
}

func TestFailureOfARepeatableCallIsTriedElsewhere(t *testing.T) {
	b := newBench(t, answers(http.StatusInternalServerError, "broken", nil), answers(200, "fine", nil))
	r := b.do(t, context.Background(), call(http.MethodGet))
	body, err := readReply(t, r)
	assert.NilError(t, err)
	assert.Equal(t, body, "fine")
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.Failed, pick.OK})
}

// The caller is told not-run and not answered: the upload was a stream that the
// first target had begun to read before it shed the call, so nothing is left to
// send to another one.
func TestStreamIsNotSentTwice(t *testing.T) {
	shedAfterRead := func(req *http.Request) upstream.Result {
		_, _ = req.Body.Read(make([]byte, 1))
		return sheds()(req)
	}
	b := newBench(t, shedAfterRead, answers(200, "", nil))
	c := call(http.MethodPut)
	c.Body = StreamBody(io.NopCloser(strings.NewReader("upload")), 6)
	r := b.do(t, context.Background(), c)
	assert.Equal(t, r.Result.Outcome, outcome.NotRun)
	assert.Equal(t, r.Result.Reason, outcome.ReasonShed)
	assert.Equal(t, len(b.picker.reports()), 1)
}

// The caller sees its answer break off, not a short answer that looks whole:
// the target's connection ended in the middle of the body.
func TestAnswerThatBreaksOffIsNotEndedAsWhole(t *testing.T) {
	half := func(*http.Request) upstream.Result {
		body := io.NopCloser(io.MultiReader(strings.NewReader("hal"), brokenReader{}))
		return upstream.Result{Sent: true, Response: response(200, body, 8, nil)}
	}
	b := newBench(t, half)
	body, err := readReply(t, b.do(t, context.Background(), call(http.MethodGet)))
	assert.Equal(t, body, "hal")
	assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.BrokeOff})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// The caller is told unknown at its deadline: the target took the request and
// said nothing, so it may still run it.
func TestDeadlineAfterTheRequestLeftIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, slow(time.Minute, answers(200, "", nil)))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := b.do(t, ctx, call(http.MethodPost))
		assert.Equal(t, r.Result.Outcome, outcome.Unknown)
		assert.Equal(t, r.Result.Reason, outcome.ReasonTargetTimeout)
	})
}

// The caller gets the second target's answer: the first one was late beyond the
// learned 95th percentile. The late attempt is canceled and its slot released.
func TestLateAnswerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, slow(time.Minute, answers(200, "late", nil)), slow(time.Millisecond, answers(200, "hedge", nil)))
		c := call(http.MethodGet)
		c.Workspace.HedgeRatio = 1
		for range 100 {
			b.d.observe(c.Key, 5*time.Millisecond)
		}
		start := time.Now()
		body, err := readReply(t, b.do(t, context.Background(), c))
		assert.NilError(t, err)
		assert.Equal(t, body, "hedge")
		assert.Check(t, time.Since(start) < 20*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(b.picker.reports()), 2)
	})
}

// budgetOf is a budget of some second attempts.
type budgetOf struct{ seconds int }

func (*budgetOf) Call(blackboard.ServiceKey, time.Time)      {}
func (*budgetOf) Take(blackboard.ServiceKey, time.Time) bool { return false }

func (b *budgetOf) TakeHedge(blackboard.ServiceKey, time.Time) bool {
	b.seconds--
	return b.seconds >= 0
}

// A target fell silent while it ran a request. Where targets tell nothing of their load the
// request goes to a second one in time for its objective, if the budget has room; where
// they do, the caller waits for the first, and a request that may not be repeated does so
// everywhere.
func TestSecondTargetIsAskedWhereTheFirstWasChosenBlindly(t *testing.T) {
	for _, c := range []struct {
		silent bool
		budget int
		method string
		second bool
	}{
		{true, 1, http.MethodGet, true},
		{true, 0, http.MethodGet, false},
		{false, 1, http.MethodGet, false},
		{true, 1, http.MethodPost, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, slow(time.Minute, answers(200, "late", nil)), slow(50*time.Millisecond, answers(200, "second", nil)))
			b.d.retries = &budgetOf{seconds: c.budget}
			b.picker.silent = c.silent
			for range 100 {
				b.d.observe(call(c.method).Key, 50*time.Millisecond)
			}
			req := call(c.method)
			req.Arrived, req.Objective = time.Now(), 200*time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			body, err := readReply(t, b.do(t, ctx, req))
			assert.NilError(t, err)
			assert.Equal(t, body == "second", c.second, "%+v", c)
			if c.second {
				assert.Check(t, time.Since(req.Arrived) <= req.Objective, "%s", time.Since(req.Arrived))
			}
			synctest.Wait()
		})
	}
}

func TestWorkspaceLimitRefuses(t *testing.T) {
	b := newBench(t)
	c := call(http.MethodGet)
	c.Workspace.MaxInFlight = 1
	release, _ := b.d.Admit(c)
	_, refusal := b.d.Admit(c)
	assert.Equal(t, refusal.Reason, outcome.ReasonWorkspaceLimit)
	release()
	release, _ = b.d.Admit(c)
	assert.Check(t, release != nil)
}

// A caller's API key is taken away while its call waits, or between two attempts: no target
// gets the call any more.
func TestCallWhoseKeyIsGoneIsNotSent(t *testing.T) {
	for sent, want := range map[int]outcome.Outcome{0: outcome.NotRun, 1: outcome.NotRun} {
		b := newBench(t, sheds(), answers(http.StatusOK, "fine", nil))
		c := call(http.MethodGet)
		asked := 0
		c.Allowed = func() bool {
			asked++
			return asked <= sent
		}
		r := b.do(t, context.Background(), c)
		assert.Equal(t, r.Result.Outcome, want)
		assert.Equal(t, r.Result.Reason, outcome.ReasonUnknownKey)
		assert.Equal(t, len(r.Attempts), sent)
		assert.Equal(t, len(b.picker.reports()), sent+1)
	}
}

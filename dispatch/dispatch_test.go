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
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

func TestOutcomeOfCallsThatGetNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		method  string
		targets []behavior
		want    outcome.Outcome
		reason  outcome.Reason
		sends   int
	}{
		{"no target", "POST", nil, outcome.NotRun, outcome.ReasonNoTarget, 0},
		{"every target sheds", "POST", []behavior{shed(), shed(), shed()}, outcome.NotRun, outcome.ReasonShed, 3},
		{"connection refused", "POST", []behavior{breakConn(false), breakConn(false), breakConn(false)}, outcome.NotRun, outcome.ReasonConnect, 3},
		{"POST connection broken", "POST", []behavior{breakConn(true), respond(200, "", nil)}, outcome.Unknown, outcome.ReasonBrokeOff, 1},
		{"GET connection broken on every target", "GET", []behavior{breakConn(true), breakConn(true)}, outcome.Unknown, outcome.ReasonNoTarget, 2},
		{"shed after a broken connection", "GET", []behavior{breakConn(true), shed(), shed()}, outcome.Unknown, outcome.ReasonShed, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t, tc.targets...)
			r := b.do(t, context.Background(), newCall(tc.method))
			assert.Equal(t, r.Result.Outcome, tc.want)
			assert.Equal(t, r.Result.Reason, tc.reason)
			assert.Equal(t, len(b.picker.reports()), tc.sends)
		})
	}
}

func TestWhatDidNotRunIsTriedElsewhere(t *testing.T) {
	for _, first := range []behavior{shed(), breakConn(false)} {
		b := newHarness(t, first, respond(http.StatusCreated, "done", nil))
		r := b.do(t, context.Background(), newCall(http.MethodPost))
		body, err := readReply(t, r)
		assert.NilError(t, err)
		assert.Equal(t, body, "done")
		assert.Equal(t, r.Status, http.StatusCreated)
		assert.Equal(t, len(b.picker.reports()), 2)
	}
}

func TestRetriesStopWhenTheBudgetIsSpent(t *testing.T) {
	b := newHarness(t, breakConn(true), respond(200, "", nil))
	c := newCall(http.MethodGet)
	c.Workspace.RetryRatio = 0
	r := b.do(t, context.Background(), c)
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, b.m.RetriesRefused.Get(noRetryBudget).String(), "1")
}

// Two targets are down at once and the workspace's retry budget is empty. The caller must still
// get a response from the third: no request was sent to the other two.
func TestTargetsThatCanNotBeReachedCostNoBudget(t *testing.T) {
	b := newHarness(t, breakConn(false), breakConn(false), respond(200, "fine", nil))
	c := newCall(http.MethodPost)
	c.Workspace.RetryRatio = 0
	body, err := readReply(t, b.do(t, context.Background(), c))
	assert.NilError(t, err)
	assert.Equal(t, body, "fine")
}

// A target fails and there is no other target for the retry. The caller must get the first
// target's error response.
func TestFailureIsPassedOnWhenThereIsNoBetterAnswer(t *testing.T) {
	b := newHarness(t, respond(http.StatusInternalServerError, "broken", nil))
	r := b.do(t, context.Background(), newCall(http.MethodGet))
	body, err := readReply(t, r)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusInternalServerError)
	assert.Equal(t, r.Result.Outcome, outcome.Answered)
	assert.Equal(t, body, "broken")
}

func TestFailureOfARepeatableCallIsTriedElsewhere(t *testing.T) {
	b := newHarness(t, respond(http.StatusInternalServerError, "broken", nil), respond(200, "fine", nil))
	r := b.do(t, context.Background(), newCall(http.MethodGet))
	body, err := readReply(t, r)
	assert.NilError(t, err)
	assert.Equal(t, body, "fine")
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.Failed, pick.OK})
}

// A target has begun to read a streamed upload before it sheds the call, so the body can't be sent
// to another target. The caller must be told not-run.
func TestStreamIsNotSentTwice(t *testing.T) {
	shedAfterRead := func(req *http.Request) upstream.Result {
		_, _ = req.Body.Read(make([]byte, 1))
		return shed()(req)
	}
	b := newHarness(t, shedAfterRead, respond(200, "", nil))
	c := newCall(http.MethodPut)
	c.Body = StreamBody(io.NopCloser(strings.NewReader("upload")), 6, nil)
	r := b.do(t, context.Background(), c)
	assert.Equal(t, r.Result.Outcome, outcome.NotRun)
	assert.Equal(t, r.Result.Reason, outcome.ReasonShed)
	assert.Equal(t, len(b.picker.reports()), 1)
}

// The target's connection breaks in the middle of the body. The caller must see an error, not a
// short response that looks complete.
func TestTruncatedResponseBreaksTheReply(t *testing.T) {
	half := func(*http.Request) upstream.Result {
		body := io.NopCloser(io.MultiReader(strings.NewReader("hal"), brokenReader{}))
		return upstream.Result{Sent: true, Response: newResponse(200, body, 8, nil)}
	}
	b := newHarness(t, half)
	body, err := readReply(t, b.do(t, context.Background(), newCall(http.MethodGet)))
	assert.Equal(t, body, "hal")
	assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.BrokeOff})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// The target has received the request and doesn't respond, so it may still run it. At the deadline
// the caller must be told that the outcome is unknown.
func TestDeadlineAfterTheRequestLeftIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, slow(time.Minute, respond(200, "", nil)))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := b.do(t, ctx, newCall(http.MethodPost))
		assert.Equal(t, r.Result.Outcome, outcome.Unknown)
		assert.Equal(t, r.Result.Reason, outcome.ReasonTargetTimeout)
	})
}

// The first response takes longer than the observed 95th percentile. The caller must get the
// response to the hedge; the late attempt is canceled and its slot released.
func TestLateAnswerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, slow(time.Minute, respond(200, "late", nil)), slow(time.Millisecond, respond(200, "hedge", nil)))
		c := newCall(http.MethodGet)
		c.Workspace.HedgeRatio = 1
		for range 100 {
			b.d.observe(c.Key, 5*time.Millisecond)
		}
		start := time.Now()
		body, err := readReply(t, b.do(t, context.Background(), c))
		assert.NilError(t, err)
		assert.Equal(t, body, "hedge")
		assert.Check(t, time.Since(start) < 20*time.Millisecond)
		time.Sleep(loserGrace)
		synctest.Wait()
		assert.Equal(t, len(b.picker.reports()), 2)
	})
}

// Guards against sending the next request to a target that asked for rest: its refusal arrived
// right after the hedge had won, and was not read.
func TestRefusalOfTheLosingAttemptIsRead(t *testing.T) {
	rest := http.Header{targetapi.HeaderShed: {targetapi.Yes}, "Retry-After": {"3"}}
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, slow(10*time.Millisecond, respond(http.StatusServiceUnavailable, "", rest)), slow(time.Millisecond, respond(200, "hedge", nil)))
			rested := make(chan time.Duration, 2)
			b.d.onSignals = func(_ blackboard.ServiceKey, _ blackboard.Target, s targetapi.Signals) {
				if s.RetryAfter > 0 {
					rested <- s.RetryAfter
				}
			}
			c := newCall(http.MethodGet)
			c.Workspace.HedgeRatio = 1
			for range 100 {
				b.d.observe(c.Key, 5*time.Millisecond)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			body, err := readReply(t, b.do(t, ctx, c))
			assert.Check(t, err)
			assert.Check(t, body == "hedge")
			if ended {
				cancel() // the caller has its answer and is gone
			}
			time.Sleep(loserGrace)
			synctest.Wait()
			assert.Check(t, len(rested) == 1 && <-rested == 3*time.Second)
			assert.Check(t, len(b.picker.reports()) == 2)
		})
	}
}

// hedgeBudget is a RetryBudget that allows a number of hedges and no retries.
type hedgeBudget struct{ hedges int }

func (*hedgeBudget) Call(blackboard.ServiceKey, time.Time)      {}
func (*hedgeBudget) Take(blackboard.ServiceKey, time.Time) bool { return false }

func (b *hedgeBudget) TakeHedge(blackboard.ServiceKey, time.Time) bool {
	b.hedges--
	return b.hedges >= 0
}

// A target stops responding while it runs a request. If targets don't report load, an idempotent
// request is hedged in time for its objective, as far as the budget allows. If they report load,
// or the request isn't idempotent, the caller waits for the first target.
func TestCallIsHedgedIfTargetsDoNotReportLoad(t *testing.T) {
	for _, c := range []struct {
		silent bool
		budget int
		method string
		hedged bool
	}{
		{true, 1, http.MethodGet, true},
		{true, 0, http.MethodGet, false},
		{false, 1, http.MethodGet, false},
		{true, 1, http.MethodPost, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, slow(time.Minute, respond(200, "late", nil)), slow(50*time.Millisecond, respond(200, "second", nil)))
			b.d.retries = &hedgeBudget{hedges: c.budget}
			b.picker.silent = c.silent
			for range 100 {
				b.d.observe(newCall(c.method).Key, 50*time.Millisecond)
			}
			req := newCall(c.method)
			req.Arrived, req.Objective = time.Now(), 200*time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			body, err := readReply(t, b.do(t, ctx, req))
			assert.NilError(t, err)
			assert.Equal(t, body == "second", c.hedged, "%+v", c)
			if c.hedged {
				assert.Check(t, time.Since(req.Arrived) <= req.Objective, "%s", time.Since(req.Arrived))
			}
			time.Sleep(loserGrace)
			synctest.Wait()
		})
	}
}

func TestWorkspaceLimitRefuses(t *testing.T) {
	b := newHarness(t)
	c := newCall(http.MethodGet)
	c.Workspace.MaxInFlight = 1
	release, _ := b.d.Admit(c)
	_, refusal := b.d.Admit(c)
	assert.Equal(t, refusal.Reason, outcome.ReasonWorkspaceLimit)
	release()
	release, _ = b.d.Admit(c)
	assert.Check(t, release != nil)
}

// A caller's API key is revoked while its call is queued or between two attempts. The call must
// not be sent to a target any more.
func TestCallWithRevokedKeyIsNotSent(t *testing.T) {
	for sent, want := range map[int]outcome.Outcome{0: outcome.NotRun, 1: outcome.NotRun} {
		b := newHarness(t, shed(), respond(http.StatusOK, "fine", nil))
		c := newCall(http.MethodGet)
		asked := 0
		c.StillAuthorized = func() bool {
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

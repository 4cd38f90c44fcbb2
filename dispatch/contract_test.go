package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// testContract is a contract with all that a platform may ask for.
func testContract() *targetapi.Contract {
	return &targetapi.Contract{
		RequestID: "Id", Timeout: "Left", Target: "For", Seal: "Seal", Shed: "Not-Run", Load: "Load",
		ReadLoad:        func(string) (targetapi.Load, bool) { return targetapi.Load{}, false },
		NotRunStatuses: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable},
	}
}

func newContractBench(t *testing.T, targets ...behaviour) *bench {
	b := newBench(t, targets...)
	b.d.contract = testContract()
	b.d.held = newHeldAnswers(64 << 20)
	return b
}

func contractCall(method string) *Call {
	c := call(method)
	c.Header.Set("Id", "r1")
	return c
}

func headers(pairs ...string) http.Header {
	h := make(http.Header)
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// A target answers an earlier request a second time, and that answer stands where
// the one to this request is due. The caller of a read gets its own answer from
// another target; the caller of a purchase is told that it may have run. Neither
// sees the other's answer.
func TestAnswerToAnotherRequestIsNeverPassedOn(t *testing.T) {
	foreign := answers(200, "another's", headers("Id", "r0", "Seal", "s"))
	own := answers(200, "own", headers("Id", "r1", "Seal", "s"))

	b := newContractBench(t, foreign, own)
	body, err := readReply(t, b.do(t, t.Context(), contractCall(http.MethodGet)))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")

	b = newContractBench(t, foreign, own)
	r := b.do(t, t.Context(), contractCall(http.MethodPost))
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, r.Status, http.StatusBadGateway)
}

// A success that no target vouches for is not passed on as one.
func TestSuccessWithoutSealIsNotPassedOn(t *testing.T) {
	b := newContractBench(t, answers(200, "spoiled", headers("Id", "r1")))
	r := b.do(t, t.Context(), contractCall(http.MethodPost))
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, r.Result.Reason, outcome.ReasonForeignAnswer)
}

// A target ran a purchase and answers with a status that callers take for the
// promise that it did not run. Passed on, the caller would buy again.
func TestPromiseOfATargetThatRanIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		b := newContractBench(t, answers(status, "", headers("Id", "r1", "Seal", "s")))
		r := b.do(t, t.Context(), contractCall(http.MethodPost))
		assert.Equal(t, r.Status, http.StatusBadGateway)
	}
}

// Another target has the address by now and refuses the request, which it did not
// run. A purchase may go to the next target.
func TestRefusalOfAnotherTargetAtTheAddressIsNotRun(t *testing.T) {
	b := newContractBench(t, answers(http.StatusMisdirectedRequest, "", nil), answers(200, "own", headers("Id", "r1", "Seal", "s")))
	body, err := readReply(t, b.do(t, t.Context(), contractCall(http.MethodPost)))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.Replaced, pick.OK})
}

// An answer breaks off in the middle. The caller of a read sees none of it and gets
// a whole one; the caller of a purchase is told at once that it may have run.
func TestAnswerThatBreaksOffIsNotBegun(t *testing.T) {
	broken := func(*http.Request) (r upstreamResult) {
		part := io.MultiReader(strings.NewReader("par"), errReader{errors.New("reset")})
		r.Sent = true
		r.Response = response(200, io.NopCloser(part), 10, headers("Id", "r1", "Seal", "s"))
		return r
	}
	own := answers(200, "own", headers("Id", "r1", "Seal", "s"))

	b := newContractBench(t, broken, own)
	body, err := readReply(t, b.do(t, t.Context(), contractCall(http.MethodGet)))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")

	b = newContractBench(t, broken, own)
	r := b.do(t, t.Context(), contractCall(http.MethodPost))
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, r.Status, http.StatusBadGateway)
}

// An answer longer than what is held passes through whole, as it comes.
func TestLongAnswerPassesThroughWhole(t *testing.T) {
	long := strings.Repeat("x", 3*maxHeld)
	for _, length := range []int64{int64(len(long)), -1} {
		b := newContractBench(t, func(*http.Request) (r upstreamResult) {
			r.Sent = true
			r.Response = response(200, io.NopCloser(strings.NewReader(long)), length, headers("Id", "r1", "Seal", "s"))
			return r
		})
		body, err := readReply(t, b.do(t, t.Context(), contractCall(http.MethodGet)))
		assert.NilError(t, err)
		assert.Equal(t, len(body), len(long))
	}
}

// The answer to a HEAD tells the length of a body that does not follow.
func TestHeadKeepsItsLength(t *testing.T) {
	b := newContractBench(t, func(*http.Request) (r upstreamResult) {
		r.Sent = true
		r.Response = response(200, http.NoBody, 4711, headers("Id", "r1", "Seal", "s"))
		return r
	})
	r := b.do(t, t.Context(), contractCall(http.MethodHead))
	assert.Equal(t, r.Length, int64(4711))
}

// Whatever the reason, a call that did not run is told by a status that promises
// so, and one that may have run never is.
func TestStatusFollowsTheOutcome(t *testing.T) {
	promises := testContract()
	for _, reason := range outcome.Reasons() {
		status := outcome.Uncertain(reason).Status()
		assert.Check(t, !promises.IsNotRunStatus(status), "unknown, %s: %d", reason, status)
		status = outcome.Refuse(reason).Status()
		assert.Check(t, status != http.StatusBadGateway && status != http.StatusGatewayTimeout, "not-run, %s: %d", reason, status)
	}
}

// What a target is told it has left is never more than the caller has, and shrinks
// with each attempt.
func TestTimeLeftShrinks(t *testing.T) {
	var left []string
	slowShed := func(req *http.Request) upstreamResult {
		left = append(left, req.Header.Get("Left"))
		time.Sleep(30 * time.Millisecond)
		return answers(503, "", headers("Not-Run", "1"))(req)
	}
	b := newContractBench(t, slowShed, slowShed)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	b.do(t, ctx, contractCall(http.MethodPost))
	assert.Equal(t, len(left), 2)
	assert.Check(t, left[0] < "999" && left[1] < left[0], "%v", left)
}

// The request names the target it is meant for, so that another one that has the
// address by now refuses it.
func TestRequestNamesItsTarget(t *testing.T) {
	b := newContractBench(t)
	req := b.d.newRequest(t.Context(), contractCall(http.MethodGet), blackboard.Target{ID: "t7"})
	assert.Equal(t, req.Header.Get("For"), "t7")
}

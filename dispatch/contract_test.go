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

// testContract sets everything that a platform may require.
func testContract() *targetapi.Contract {
	return &targetapi.Contract{
		RequestID: "Id", Timeout: "Left", Target: "For", Seal: "Seal", Shed: "Not-Run", Load: "Load",
		ReadLoad:       func(string) (targetapi.Load, bool) { return targetapi.Load{}, false },
		NotRunStatuses: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable},
	}
}

func newContractHarness(t *testing.T, targets ...behavior) *harness {
	b := newHarness(t, targets...)
	b.d.contract = testContract()
	b.d.buffers = newResponseBuffers(64 << 20)
	return b
}

func newContractCall(method string) *Call {
	c := newCall(method)
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

// A target responds to an earlier request a second time, in place of the response to this one. The
// caller of a GET must get its own response from another target, and the caller of a POST must be
// told that it may have run. Neither may see the other request's response.
func TestAnswerToAnotherRequestIsNeverPassedOn(t *testing.T) {
	foreign := respond(200, "another's", headers("Id", "r0", "Seal", "s"))
	own := respond(200, "own", headers("Id", "r1", "Seal", "s"))

	b := newContractHarness(t, foreign, own)
	body, err := readReply(t, b.do(t, t.Context(), newContractCall(http.MethodGet)))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")

	b = newContractHarness(t, foreign, own)
	r := b.do(t, t.Context(), newContractCall(http.MethodPost))
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, r.Status, http.StatusBadGateway)
}

// A success response without a seal must not be forwarded.
func TestSuccessWithoutSealIsNotPassedOn(t *testing.T) {
	b := newContractHarness(t, respond(200, "spoiled", headers("Id", "r1")))
	r := b.do(t, t.Context(), newContractCall(http.MethodPost))
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, r.Result.Reason, outcome.ReasonForeignAnswer)
}

// A target ran a POST but responds with a status that callers read as a guarantee that it did not
// run. If it were forwarded, the caller would repeat the purchase.
func TestNotRunStatusOfATargetThatRanIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		b := newContractHarness(t, respond(status, "", headers("Id", "r1", "Seal", "s")))
		r := b.do(t, t.Context(), newContractCall(http.MethodPost))
		assert.Equal(t, r.Status, http.StatusBadGateway)
	}
}

// A different target has taken over the address and rejects the request, which it did not run. A
// POST may then go to the next target.
func TestRefusalOfAnotherTargetAtTheAddressIsNotRun(t *testing.T) {
	b := newContractHarness(t, respond(http.StatusMisdirectedRequest, "", nil), respond(200, "own", headers("Id", "r1", "Seal", "s")))
	body, err := readReply(t, b.do(t, t.Context(), newContractCall(http.MethodPost)))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.Replaced, pick.OK})
}

// A response is truncated. The caller of a GET must see none of it and get a complete one; the
// caller of a POST must be told right away that it may have run.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	broken := func(*http.Request) (r upstreamResult) {
		part := io.MultiReader(strings.NewReader("par"), errReader{errors.New("reset")})
		r.Sent = true
		r.Response = newResponse(200, io.NopCloser(part), 10, headers("Id", "r1", "Seal", "s"))
		return r
	}
	own := respond(200, "own", headers("Id", "r1", "Seal", "s"))

	b := newContractHarness(t, broken, own)
	body, err := readReply(t, b.do(t, t.Context(), newContractCall(http.MethodGet)))
	assert.NilError(t, err)
	assert.Equal(t, body, "own")

	b = newContractHarness(t, broken, own)
	r := b.do(t, t.Context(), newContractCall(http.MethodPost))
	assert.Equal(t, r.Result.Outcome, outcome.Unknown)
	assert.Equal(t, r.Status, http.StatusBadGateway)
}

// A response that is too large to buffer is streamed completely.
func TestLongAnswerPassesThroughWhole(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedResponse)
	for _, length := range []int64{int64(len(long)), -1} {
		b := newContractHarness(t, func(*http.Request) (r upstreamResult) {
			r.Sent = true
			r.Response = newResponse(200, io.NopCloser(strings.NewReader(long)), length, headers("Id", "r1", "Seal", "s"))
			return r
		})
		body, err := readReply(t, b.do(t, t.Context(), newContractCall(http.MethodGet)))
		assert.NilError(t, err)
		assert.Equal(t, len(body), len(long))
	}
}

// The Content-Length of a response to HEAD describes a body that isn't sent.
func TestHeadKeepsItsLength(t *testing.T) {
	b := newContractHarness(t, func(*http.Request) (r upstreamResult) {
		r.Sent = true
		r.Response = newResponse(200, http.NoBody, 4711, headers("Id", "r1", "Seal", "s"))
		return r
	})
	r := b.do(t, t.Context(), newContractCall(http.MethodHead))
	assert.Equal(t, r.Length, int64(4711))
}

// For every reason, a call that did not run must get a status that guarantees this, and a call
// that may have run must never get one.
func TestStatusFollowsTheOutcome(t *testing.T) {
	contract := testContract()
	for _, reason := range outcome.Reasons() {
		status := outcome.Uncertain(reason).Status()
		assert.Check(t, !contract.IsNotRunStatus(status), "unknown, %s: %d", reason, status)
		status = outcome.Refuse(reason).Status()
		assert.Check(t, status != http.StatusBadGateway && status != http.StatusGatewayTimeout, "not-run, %s: %d", reason, status)
	}
}

// The timeout sent to a target is never more than the caller has left, and shrinks with each
// attempt.
func TestTimeLeftShrinks(t *testing.T) {
	var left []string
	slowShed := func(req *http.Request) upstreamResult {
		left = append(left, req.Header.Get("Left"))
		time.Sleep(30 * time.Millisecond)
		return respond(503, "", headers("Not-Run", "1"))(req)
	}
	b := newContractHarness(t, slowShed, slowShed)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	b.do(t, ctx, newContractCall(http.MethodPost))
	assert.Equal(t, len(left), 2)
	assert.Check(t, left[0] < "999" && left[1] < left[0], "%v", left)
}

// The request names the target it is meant for, so that a different target that has taken over the
// address rejects it.
func TestRequestNamesItsTarget(t *testing.T) {
	b := newContractHarness(t)
	req := b.d.newRequest(t.Context(), newContractCall(http.MethodGet), blackboard.Target{ID: "t7"})
	assert.Equal(t, req.Header.Get("For"), "t7")
}

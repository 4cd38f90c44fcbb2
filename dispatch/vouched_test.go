package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// failures are statuses of answers that are no success and that callers take for the
// last word on their request, or for the host's.
var failures = []int{301, 304, 400, 401, 404, 413, 417, 431, 500, 504}

// unvouched are headers of answers that their target does not vouch for.
var unvouched = map[string]http.Header{
	"no seal":                headers("Id", "r1"),
	"no seal, no echo":       headers(),
	"no seal, another echo":  headers("Id", "r0"),
	"sealed, another's echo": headers("Id", "r0", "Seal", "s"),
	"sealed, no echo":        headers("Seal", "s"),
}

// Bytes that no target vouches for stand where an answer is due, and read as a failure.
// Passed on, the caller of a proper request took them for the host's own word, and did
// not ask again. The caller of a read gets the answer of another target; the caller of a
// purchase is told that it may have run.
func TestFailureThatNoTargetVouchesForIsNotPassedOn(t *testing.T) {
	own := answers(200, "own", headers("Id", "r1", "Seal", "s"))
	for _, status := range failures {
		for name, h := range unvouched {
			spoiled := answers(status, "", h)

			b := newContractBench(t, spoiled, own)
			r := b.do(t, t.Context(), contractCall(http.MethodGet))
			body, err := readReply(t, r)
			assert.NilError(t, err)
			assert.Equal(t, body, "own", "%d, %s", status, name)

			b = newContractBench(t, spoiled, own)
			r = b.do(t, t.Context(), contractCall(http.MethodPost))
			assert.Equal(t, r.Result.Outcome, outcome.Unknown, "%d, %s", status, name)
			assert.Equal(t, r.Result.Reason, outcome.ReasonForeignAnswer, "%d, %s", status, name)
			assert.Equal(t, r.Status, http.StatusBadGateway, "%d, %s", status, name)
		}
	}
}

// A target's own failure reaches the caller as it is.
func TestFailureThatItsTargetVouchesForIsPassedOn(t *testing.T) {
	for _, status := range failures {
		b := newContractBench(t, answers(status, "", headers("Id", "r1", "Seal", "s")))
		r := b.do(t, t.Context(), contractCall(http.MethodPost))
		assert.Equal(t, r.Status, status)
		assert.Equal(t, r.Header.Get("Seal"), "s")
	}
}

// A target refuses a request before it runs it, and so has nothing to seal. A purchase
// goes to the next target.
func TestRefusalNeedsNoSeal(t *testing.T) {
	own := answers(200, "own", headers("Id", "r1", "Seal", "s"))
	for _, status := range []int{400, 413, 421, 429, 431, 503} {
		for _, h := range []http.Header{headers("Id", "r1", "Not-Run", "1"), headers("Not-Run", "1")} {
			b := newContractBench(t, answers(status, "", h), own)
			body, err := readReply(t, b.do(t, t.Context(), contractCall(http.MethodPost)))
			assert.NilError(t, err)
			assert.Equal(t, body, "own", "%d", status)
		}
	}
}

// The refusal of an earlier request comes a second time, where the answer to a purchase
// is due. The purchase may run all the same, and is not sent again.
func TestRefusalOfAnotherRequestIsNotTakenForOne(t *testing.T) {
	for _, status := range []int{400, 421, 429, 503} {
		b := newContractBench(t, answers(status, "", headers("Id", "r0", "Not-Run", "1")), answers(200, "own", headers("Id", "r1", "Seal", "s")))
		r := b.do(t, t.Context(), contractCall(http.MethodPost))
		assert.Equal(t, r.Result.Outcome, outcome.Unknown, "%d", status)
	}
}

// Targets of a platform without seals: each answer reaches the caller as it came.
func TestWithoutSealsAnswersPassAsTheyCame(t *testing.T) {
	for _, status := range append([]int{200, 204, 408, 429}, failures...) {
		b := newBench(t, answers(status, "", nil))
		r := b.do(t, t.Context(), call(http.MethodPost))
		assert.Equal(t, r.Status, status)
	}
}

// overNetwork has a target behind a connection answer.
func overNetwork(t *testing.T, serve http.HandlerFunc) behaviour {
	server := httptest.NewServer(serve)
	pools := upstream.New(upstream.Options{})
	t.Cleanup(func() {
		pools.Close()
		server.Close()
	})
	at := blackboard.Target{ID: "t1", Addr: server.Listener.Addr().String()}
	return func(req *http.Request) upstream.Result { return pools.RoundTrip(req, at, upstream.SendOptions{}) }
}

// A target sends an interim answer before the final one. The final one alone counts, and
// it alone needs a seal; a switch of protocols that nobody asked for is no answer.
func TestInterimAnswersNeedNoSeal(t *testing.T) {
	for _, c := range []struct {
		interim, final int
		seal           string
		want           int
	}{
		{103, 200, "s", 200},
		{103, 204, "s", 204},
		{103, 304, "s", 304},
		{102, 404, "s", 404},
		{103, 404, "", 502},
		{103, 204, "", 502},
		{103, 304, "", 502},
	} {
		b := newContractBench(t, overNetwork(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(c.interim)
			w.Header().Set("Id", "r1")
			if c.seal != "" {
				w.Header().Set("Seal", c.seal)
			}
			w.WriteHeader(c.final)
		}))
		r := b.do(t, t.Context(), contractCall(http.MethodPost))
		assert.Equal(t, r.Status, c.want, "%+v", c)
		_, err := readReply(t, r)
		assert.NilError(t, err)
	}
	b := newContractBench(t, answers(http.StatusSwitchingProtocols, "", headers("Id", "r1")))
	assert.Equal(t, b.do(t, t.Context(), contractCall(http.MethodPost)).Status, http.StatusBadGateway)
}

// A request gets bytes that no target vouches for from each target that it is sent to.
// The targets live. Taken for one that crashes them, the request would be refused by all
// hosts for a minute.
func TestAnswersThatNoTargetVouchesForAreNoCrash(t *testing.T) {
	for _, status := range []int{200, 400, 404, 500} {
		spoiled := answers(status, "", headers("Id", "r1"))
		b := newContractBench(t, spoiled, spoiled, spoiled, spoiled)
		q := quarantine.New(quarantine.Deps{
			Link:    peernet.New().Join("h0"),
			Members: func() []ports.HostID { return []ports.HostID{"h0"} },
			Metrics: b.m,
			Log:     zap.NewNop(),
		})
		b.d.suspects = q
		for range 2 {
			c := contractCall(http.MethodGet)
			c.Attempts, c.Suspicion = 2, 7
			assert.Equal(t, b.do(t, t.Context(), c).Status, http.StatusBadGateway)
		}
		assert.Equal(t, len(b.picker.reports()), 4)
		assert.Equal(t, len(q.List(1)), 0, "%d", status)
	}
}

// An operator is asked about a call that was told 502, and must be able to tell a target's
// own 404 from one that the target did not vouch for.
func TestRecordTellsTheStatusOfAnAnswerThatIsNotPassedOn(t *testing.T) {
	b := newContractBench(t, answers(404, "", headers("Id", "r1")))
	r := b.do(t, t.Context(), contractCall(http.MethodPost))
	assert.Equal(t, r.Attempts[0].Reason, outcome.ReasonForeignAnswer)
	assert.Equal(t, r.Attempts[0].Status, 404)
	assert.Equal(t, fmt.Sprint(b.m.Map("foreign_answers")), `{"404": 1}`)

	b = newContractBench(t, answers(404, "", headers("Id", "r1", "Seal", "s")))
	r = b.do(t, t.Context(), contractCall(http.MethodPost))
	assert.Equal(t, r.Attempts[0].Reason, outcome.ReasonOK)
	assert.Equal(t, r.Attempts[0].Status, 404)
	assert.Equal(t, fmt.Sprint(b.m.Map("foreign_answers")), `{}`)
}

// What no target vouches for is held against the target that it came from.
func TestForeignAnswerIsReported(t *testing.T) {
	b := newContractBench(t, answers(404, "", headers("Id", "r1")))
	b.do(t, t.Context(), contractCall(http.MethodPost))
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.Foreign})
}

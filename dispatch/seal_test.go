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
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// failures are statuses that callers treat as the final result of their request, or as generated
// by the proxy.
var failures = []int{301, 304, 400, 401, 404, 413, 417, 431, 500, 504}

// unverified are headers of responses that lack the seal or don't echo the request ID.
var unverified = map[string]http.Header{
	"no seal":                          headers("Id", "r1"),
	"no seal, no echo":                 headers(),
	"no seal, echo of another request": headers("Id", "r0"),
	"sealed, echo of another request":  headers("Id", "r0", "Seal", "s"),
	"sealed, no echo":                  headers("Seal", "s"),
}

// An unverified response reads as a failure. When such responses were forwarded, the callers of
// valid requests took them for the proxy's own response and did not retry. The caller of a GET
// must get the response of another target; the caller of a POST must be told that it may have
// run.
func TestUnverifiedFailureIsNotForwarded(t *testing.T) {
	own := respond(200, "own", headers("Id", "r1", "Seal", "s"))
	for _, status := range failures {
		for name, h := range unverified {
			corrupt := respond(status, "", h)

			b := newContractHarness(t, corrupt, own)
			r := b.do(t, t.Context(), newContractCall(http.MethodGet))
			body, err := readReply(t, r)
			assert.NilError(t, err)
			assert.Equal(t, body, "own", "%d, %s", status, name)

			b = newContractHarness(t, corrupt, own)
			r = b.do(t, t.Context(), newContractCall(http.MethodPost))
			assert.Equal(t, r.Result.Outcome, outcome.Unknown, "%d, %s", status, name)
			assert.Equal(t, r.Result.Reason, outcome.ReasonForeignAnswer, "%d, %s", status, name)
			assert.Equal(t, r.Status, http.StatusBadGateway, "%d, %s", status, name)
		}
	}
}

// A target's own error response is forwarded unchanged.
func TestVerifiedFailureIsForwarded(t *testing.T) {
	for _, status := range failures {
		b := newContractHarness(t, respond(status, "", headers("Id", "r1", "Seal", "s")))
		r := b.do(t, t.Context(), newContractCall(http.MethodPost))
		assert.Equal(t, r.Status, status)
		assert.Equal(t, r.Header.Get("Seal"), "s")
	}
}

// A target rejects a request before it runs it and so has nothing to seal. A POST must go to the
// next target.
func TestRefusalNeedsNoSeal(t *testing.T) {
	own := respond(200, "own", headers("Id", "r1", "Seal", "s"))
	for _, status := range []int{400, 413, 421, 429, 431, 503} {
		for _, h := range []http.Header{headers("Id", "r1", "Not-Run", "1"), headers("Not-Run", "1")} {
			b := newContractHarness(t, respond(status, "", h), own)
			body, err := readReply(t, b.do(t, t.Context(), newContractCall(http.MethodPost)))
			assert.NilError(t, err)
			assert.Equal(t, body, "own", "%d", status)
		}
	}
}

// The rejection of an earlier request arrives a second time, in place of the response to a POST.
// The POST may still run, so it must not be sent again.
func TestRefusalOfAnotherRequestIsNotTakenForOne(t *testing.T) {
	for _, status := range []int{400, 421, 429, 503} {
		b := newContractHarness(t, respond(status, "", headers("Id", "r0", "Not-Run", "1")), respond(200, "own", headers("Id", "r1", "Seal", "s")))
		r := b.do(t, t.Context(), newContractCall(http.MethodPost))
		assert.Equal(t, r.Result.Outcome, outcome.Unknown, "%d", status)
	}
}

// On a platform without seals every response is forwarded unchanged.
func TestResponsesAreForwardedUnchangedWithoutSeals(t *testing.T) {
	for _, status := range append([]int{200, 204, 408, 429}, failures...) {
		b := newHarness(t, respond(status, "", nil))
		r := b.do(t, t.Context(), newCall(http.MethodPost))
		assert.Equal(t, r.Status, status)
	}
}

// overNetwork returns a behavior that sends the request to a handler over a real connection.
func overNetwork(t *testing.T, serve http.HandlerFunc) behavior {
	server := httptest.NewServer(serve)
	pools := upstream.New(upstream.Options{})
	t.Cleanup(func() {
		pools.Close()
		server.Close()
	})
	at := blackboard.Target{ID: "t1", Addr: server.Listener.Addr().String()}
	return func(req *http.Request) upstream.Result { return pools.RoundTrip(req, at, upstream.SendOptions{}) }
}

// A target sends an interim response before the final one. Only the final one counts and needs a
// seal; an unrequested protocol switch isn't a valid response.
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
		b := newContractHarness(t, overNetwork(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(c.interim)
			w.Header().Set("Id", "r1")
			if c.seal != "" {
				w.Header().Set("Seal", c.seal)
			}
			w.WriteHeader(c.final)
		}))
		r := b.do(t, t.Context(), newContractCall(http.MethodPost))
		assert.Equal(t, r.Status, c.want, "%+v", c)
		_, err := readReply(t, r)
		assert.NilError(t, err)
	}
	b := newContractHarness(t, respond(http.StatusSwitchingProtocols, "", headers("Id", "r1")))
	assert.Equal(t, b.do(t, t.Context(), newContractCall(http.MethodPost)).Status, http.StatusBadGateway)
}

// startQuarantine gives the dispatcher the quarantine of the only host.
func (b *harness) startQuarantine() *quarantine.Quarantine {
	q := quarantine.New(quarantine.Deps{
		Link:    peernet.New().Join("h0"),
		Members: func() []ports.HostID { return []ports.HostID{"h0"} },
		Metrics: b.m,
		Log:     zap.NewNop(),
	})
	b.d.quarantine = q
	return q
}

// A request gets an unverified response from each target it is sent to, but no target crashes. If
// these counted as crashes, all hosts would refuse the request for a minute.
func TestUnverifiedResponsesAreNotCountedAsCrashes(t *testing.T) {
	for _, status := range []int{200, 400, 404, 500} {
		corrupt := respond(status, "", headers("Id", "r1"))
		b := newContractHarness(t, corrupt, corrupt, corrupt, corrupt)
		q := b.startQuarantine()
		for range 2 {
			c := newContractCall(http.MethodGet)
			c.MaxAttempts, c.Identity.Request = 2, 7
			assert.Equal(t, b.do(t, t.Context(), c).Status, http.StatusBadGateway)
		}
		assert.Equal(t, len(b.picker.reports()), 4)
		assert.Equal(t, len(q.List(1)), 0, "%d", status)
	}
}

// For a call that got 502, operators must be able to tell a target's own 404 from an unverified
// one.
func TestRecordTellsTheStatusOfAnAnswerThatIsNotPassedOn(t *testing.T) {
	b := newContractHarness(t, respond(404, "", headers("Id", "r1")))
	r := b.do(t, t.Context(), newContractCall(http.MethodPost))
	assert.Equal(t, r.Attempts[0].Reason, outcome.ReasonForeignAnswer)
	assert.Equal(t, r.Attempts[0].Status, 404)
	assert.Equal(t, fmt.Sprint(b.m.Map("foreign_answers")), `{"404": 1}`)

	b = newContractHarness(t, respond(404, "", headers("Id", "r1", "Seal", "s")))
	r = b.do(t, t.Context(), newContractCall(http.MethodPost))
	assert.Equal(t, r.Attempts[0].Reason, outcome.ReasonOK)
	assert.Equal(t, r.Attempts[0].Status, 404)
	assert.Equal(t, fmt.Sprint(b.m.Map("foreign_answers")), `{}`)
}

// An unverified response counts against the target that it came from.
func TestForeignAnswerIsReported(t *testing.T) {
	b := newContractHarness(t, respond(404, "", headers("Id", "r1")))
	b.do(t, t.Context(), newContractCall(http.MethodPost))
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.Foreign})
}

// Guards against a refusal of which operators can't tell which request was held back.
func TestQuarantineRefusalNamesTheDigest(t *testing.T) {
	b := newContractHarness(t)
	q := b.startQuarantine()
	for _, target := range []ports.RunID{"t1", "t2"} {
		a, _ := q.Admit(t.Context(), suspicion.ID{Request: 0xabc})
		a.Started(target)
		a.BrokeOff()
	}
	c := newContractCall(http.MethodGet)
	c.Identity.Request = 0xabc
	r := b.do(t, t.Context(), c)
	assert.Equal(t, r.Result.Reason, outcome.ReasonQuarantined)
	assert.Equal(t, r.Result.Detail, "digest=abc")
	assert.Equal(t, q.List(1)[0].Digest, "abc")
}

// A target answers with a head or a trailer that is none in the protocol. Guards against a request that is taken for one
// that crashed its target, and held back on all hosts.
func TestMalformedResponsesAreNotCountedAsCrashes(t *testing.T) {
	for name, answer := range map[string]string{
		"status":  "HTTP/1.1 000 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		send := overNetwork(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		})
		b := newContractHarness(t, send, send)
		q := b.startQuarantine()
		for range 2 {
			c := newContractCall(http.MethodPost)
			c.Identity.Request = 7
			r := b.do(t, t.Context(), c)
			assert.Equal(t, r.Status, http.StatusBadGateway, name)
			assert.Equal(t, r.Result.Reason, outcome.ReasonForeignAnswer, name)
		}
		assert.Equal(t, len(q.List(1)), 0, name)
	}
}

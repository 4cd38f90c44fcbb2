package dispatch

import (
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// history records the attempts of one call.
type history struct {
	attempts   int
	tried      []ports.HostID
	mayHaveRun bool
	// atMostOnce is set for calls that must not run twice; claim is set for those of them that
	// have an idempotency key.
	atMostOnce bool
	claim      *ledger.Claim
	// records describes the attempts, for the call log.
	records []AttemptRecord
	// failure is a response with a server error that is kept while another attempt is made; the
	// caller gets it if that attempt has no response.
	failure *Reply
}

func (h *history) add(a *attempt) {
	h.attempts++
	h.tried = append(h.tried, a.grant.Target().ID)
	h.records = append(h.records, a.record())
	ranTwice := h.atMostOnce && h.mayHaveRun && a.mayHaveRun
	invariant.Check(!ranTwice, invariant.AtMostOnce, "attempt=%d target=%s", h.attempts, a.grant.Target().ID)
	if h.claim != nil && !a.mayHaveRun {
		h.claim.AttemptRefused()
	}
	h.mayHaveRun = h.mayHaveRun || a.mayHaveRun
}

// addUnfinished records an attempt of an idempotent call whose result the call does not wait for.
func (h *history) addUnfinished(r *racer) {
	h.attempts++
	h.tried = append(h.tried, r.permit.grant.Target().ID)
	h.records = append(h.records, AttemptRecord{
		Target:     r.permit.grant.Target().ID,
		Reason:     outcome.ReasonCallerGone,
		MayHaveRun: true,
		Took:       time.Since(r.start),
		Basis:      basisOf(r.permit.grant),
	})
	h.mayHaveRun = true
}

// fallbackReply returns the reply of a call that ends without a new response. If any attempt may
// have run, the outcome of the whole call is unknown, whatever the last attempt or the picker
// returned.
func (h *history) fallbackReply(r outcome.Reason, retryAfter time.Duration) *Reply {
	if h.failure != nil {
		return h.failure
	}
	res := outcome.Refuse(r)
	if h.mayHaveRun {
		res = outcome.Uncertain(r)
	}
	res.RetryAfter = max(res.RetryAfter, retryAfter)
	return h.reply(&Reply{Result: res, Status: res.Status()})
}

// reply adds the attempts to a reply and checks that it doesn't deny an attempt that may have run.
func (h *history) reply(r *Reply) *Reply {
	consistent := r.Result.Outcome != outcome.NotRun || !h.mayHaveRun
	invariant.Check(consistent, invariant.NotRunHonest, "reason=%s attempts=%d", r.Result.Reason, h.attempts)
	r.Attempts = h.records
	return r
}

// Reply is the reply to a caller. Body is nil for replies that cactusproxy generates itself;
// otherwise it must be closed.
type Reply struct {
	Result  outcome.Result
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    *ReplyBody
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Attempts lists the attempts of the call in order.
	Attempts []AttemptRecord
}

// AttemptRecord describes a finished attempt for the call log.
type AttemptRecord struct {
	Target ports.HostID
	Reason outcome.Reason
	// Status is the status of the target's response, forwarded or not; 0 without a response. With
	// reason ok it comes from the target itself; with foreign-answer its origin is unknown.
	Status     int
	MayHaveRun bool
	// Cause is how the connection failed; empty if it did not.
	Cause upstream.Cause
	// Via is the host through which the request was sent; empty if this host sent it itself.
	Via   ports.HostID
	Took  time.Duration
	Basis pick.Basis
}

func (a *attempt) record() AttemptRecord {
	return AttemptRecord{
		Target:     a.grant.Target().ID,
		Reason:     a.reason,
		Status:     a.status,
		MayHaveRun: a.mayHaveRun,
		Cause:      a.cause,
		Via:        a.via,
		Took:       time.Since(a.start),
		Basis:      basisOf(a.grant),
	}
}

// basisOf returns what a grant's choice was based on, if the picker tells.
func basisOf(g pick.Grant) pick.Basis {
	if e, ok := g.(pick.Explainer); ok {
		return e.Basis()
	}
	return pick.Basis{}
}

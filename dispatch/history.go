package dispatch

import (
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// history is what is known of the attempts of one call.
type history struct {
	attempts   int
	tried      []ports.HostID
	mayHaveRun bool
	// once is set for calls that may not be repeated, claim for those of them
	// that carry an idempotency key.
	once  bool
	claim *ledger.Claim
	// records is what is told of the attempts afterwards.
	records []AttemptRecord
	// failure is a target's answer of status 500 and above, kept while another
	// attempt looks for a better one.
	failure *Reply
}

func (h *history) add(a *attempt) {
	h.attempts++
	h.tried = append(h.tried, a.grant.Target().ID)
	h.records = append(h.records, a.record())
	twice := h.once && h.mayHaveRun && a.mayHaveRun
	invariant.Check(!twice, invariant.AtMostOnce, "attempt=%d target=%s", h.attempts, a.grant.Target().ID)
	if h.claim != nil && !a.mayHaveRun {
		h.claim.AttemptRefused()
	}
	h.mayHaveRun = h.mayHaveRun || a.mayHaveRun
}

// settle returns the reply of a call that ends without a fresh answer. One
// attempt that may have run makes the whole call unknown, whatever the last
// attempt or the picker said.
func (h *history) settle(r outcome.Reason, retryAfter time.Duration) *Reply {
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

// reply checks what is told against what was done.
func (h *history) reply(r *Reply) *Reply {
	honest := r.Result.Outcome != outcome.NotRun || !h.mayHaveRun
	invariant.Check(honest, invariant.NotRunHonest, "reason=%s attempts=%d", r.Result.Reason, h.attempts)
	r.Attempts = h.records
	return r
}

// Reply is what a caller is told. Body is nil for replies that cactusproxy
// makes itself; otherwise it must be closed.
type Reply struct {
	Result  outcome.Result
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    *ReplyBody
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Attempts are those of the call, in order.
	Attempts []AttemptRecord
}

// AttemptRecord is what is told of an attempt afterwards.
type AttemptRecord struct {
	Target ports.HostID
	Reason outcome.Reason
	// Status is that of the target's answer, passed on or not; 0 if there was none. Beside
	// the reason ok it is the target's own word, beside foreign-answer nobody's.
	Status     int
	MayHaveRun bool
	Took       time.Duration
	Basis      pick.Basis
}

func (a *attempt) record() AttemptRecord {
	r := AttemptRecord{
		Target:     a.grant.Target().ID,
		Reason:     a.reason,
		Status:     a.status,
		MayHaveRun: a.mayHaveRun,
		Took:       time.Since(a.start),
	}
	if g, ok := a.grant.(pick.Explained); ok {
		r.Basis = g.Basis()
	}
	return r
}

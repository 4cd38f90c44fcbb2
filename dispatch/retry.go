package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// Reasons, besides those told to callers, for which no further attempt is made.
// They are the keys of the counter retries_refused.
const (
	noRetryAttempts = "attempts-spent"
	noRetryBudget   = "retry-budget"
	noRetryMayRun   = "may-have-run"
	noRetryBody     = "body-not-kept"
	noRetryDeadline = "deadline"
	noRetryStatus   = "status"
	noRetryClaim    = "claim-too-old"
)

// mayRetry decides whether there is another attempt after a, and pays for it.
//
// A target that could not be reached is not paid for: no byte left, so nothing was
// attempted there, and the budget is there to keep faults from being multiplied
// into load on targets. Paid for, the loss of two targets at once refused calls
// that three healthy ones had room for. The number of attempts still bounds it.
func (d *Dispatcher) mayRetry(ctx context.Context, c *Call, h *history, a *attempt) bool {
	if why := refuseRetry(ctx, c, h, a); why != "" {
		d.metrics.RetriesRefused.Add(why, 1)
		return false
	}
	if a.class != pick.NotSent && !d.payRetry(c) {
		d.metrics.RetriesRefused.Add(noRetryBudget, 1)
		return false
	}
	d.metrics.Retries.Add(retryReason(a), 1)
	return true
}

// payRetry pays for one further attempt.
func (d *Dispatcher) payRetry(c *Call) bool {
	if d.retries != nil {
		return d.retries.Take(c.Key, time.Now())
	}
	return d.workspace(c.Workspace).takeRetry(time.Now())
}

// refuseRetry returns why there can be no further attempt, or "".
func refuseRetry(ctx context.Context, c *Call, h *history, a *attempt) string {
	switch {
	case ctx.Err() != nil:
		return noRetryDeadline
	case h.mayHaveRun && c.Repeat == Once:
		// The target may be running the call at this moment: another attempt
		// could bill a purchase twice.
		return noRetryMayRun
	case a.reason == outcome.ReasonKeyExpired:
		return noRetryClaim
	case h.attempts >= c.Attempts:
		return noRetryAttempts
	case !c.Body.Replayable():
		return noRetryBody
	case a.answered() && !retryableStatus(a.resp.StatusCode):
		return noRetryStatus
	default:
		return ""
	}
}

// retryableStatus reports whether another target may do better.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// retryReason names the cause of a further attempt in the counter retries.
func retryReason(a *attempt) string {
	if a.class == pick.Failed {
		return "target-failed"
	}
	return string(a.reason)
}

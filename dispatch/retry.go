package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// Reasons why a call isn't retried, in addition to those reported to callers. They are the keys
// of the counter retries_refused.
const (
	noRetryAttempts   = "attempts-spent"
	noRetryBudget     = "retry-budget"
	noRetryMayHaveRun = "may-have-run"
	noRetryBody       = "body-not-kept"
	noRetryDeadline   = "deadline"
	noRetryStatus     = "status"
	noRetryClaim      = "claim-too-old"
)

// mayRetry decides whether the call is retried after attempt a, and deducts the retry from the
// budget.
//
// A retry after a connection that failed, or whose target left, isn't deducted: no byte was sent, and the budget exists to
// keep failures from multiplying the load on targets. When it was deducted, the loss of two
// targets at once caused calls to be refused for which three healthy targets had room. The number
// of attempts is limited in any case.
func (d *Dispatcher) mayRetry(ctx context.Context, c *Call, h *history, a *attempt) bool {
	if reason := retryRefusal(ctx, c, h, a); reason != "" {
		d.metrics.RetriesRefused.Add(reason, 1)
		return false
	}
	unsent := a.class == pick.NotSent || a.class == pick.NoPath || a.reason == outcome.ReasonTargetLeft
	if !unsent && !d.takeRetryBudget(c) {
		d.metrics.RetriesRefused.Add(noRetryBudget, 1)
		return false
	}
	d.metrics.Retries.Add(retryReason(a), 1)
	return true
}

// takeRetryBudget deducts a retry from the budget and reports whether there was room for it.
func (d *Dispatcher) takeRetryBudget(c *Call) bool {
	if d.retries != nil {
		return d.retries.Take(c.Key, time.Now())
	}
	return d.workspace(c.Workspace).takeRetry(time.Now())
}

// retryRefusal returns why the call can't be retried, or "" if it can.
func retryRefusal(ctx context.Context, c *Call, h *history, a *attempt) string {
	switch {
	case ctx.Err() != nil:
		return noRetryDeadline
	case h.mayHaveRun && c.Idempotency == NonIdempotent:
		// The target may be running the request right now: a retry could bill a purchase
		// twice.
		return noRetryMayHaveRun
	case a.reason == outcome.ReasonKeyExpired:
		return noRetryClaim
	case h.attempts >= c.MaxAttempts:
		return noRetryAttempts
	case !c.Body.Replayable():
		return noRetryBody
	case a.hasResponse() && !retryableStatus(a.resp.StatusCode):
		return noRetryStatus
	default:
		return ""
	}
}

// retryableStatus reports whether another target may respond better than with this status.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// retryReason returns the key under which a retry is counted in the counter retries.
func retryReason(a *attempt) string {
	if a.class == pick.Failed {
		return "target-failed"
	}
	return string(a.reason)
}

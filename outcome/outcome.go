// Package outcome holds what a caller is told about its call: one of three
// outcomes, and one reason from a closed set. Outcomes are values that travel
// through the program in place of errors; an error is left for what a caller
// can not be told about in these terms.
package outcome

import (
	"net/http"
	"time"
)

// Names of the reply headers that carry the outcome and its reason. Both are
// removed from what callers and targets send.
const (
	HeaderOutcome = "Cactusproxy-Outcome"
	HeaderReason  = "Cactusproxy-Reason"
	// HeaderPrefix starts every header name that belongs to cactusproxy.
	HeaderPrefix = "Cactusproxy-"
)

// Outcome tells whether a call ran.
type Outcome uint8

const (
	// Answered means that a target's whole answer follows.
	Answered Outcome = iota + 1
	// NotRun means that no target ran the call and none will: for every
	// attempt, no byte of the request left for a target or the target itself
	// refused it before running it. For a call with an idempotency key it
	// speaks of the key over all hosts, not of this one send.
	NotRun
	// Unknown means that the call may have run.
	Unknown
)

// String returns the outcome as the reply header spells it.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Result is an outcome with its reason, and for refusals the time after which
// the caller may try again.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is sent as Retry-After, rounded up to whole seconds. Zero
	// sends none.
	RetryAfter time.Duration
	// Detail is what a refusal rested on, for the log.
	Detail string
}

// Refuse returns a not-run result with the reason's usual Retry-After.
func Refuse(r Reason) Result {
	return Result{Outcome: NotRun, Reason: r, RetryAfter: r.info().retryAfter}
}

// Uncertain returns an unknown result with the reason's usual Retry-After.
func Uncertain(r Reason) Result {
	return Result{Outcome: Unknown, Reason: r, RetryAfter: r.info().retryAfter}
}

// Status returns the HTTP status of a reply that cactusproxy makes itself. A
// target's own answer keeps the target's status.
//
// The outcome goes first. Client libraries repeat on 503 and 429 what they would
// repeat on nothing else, so these are told of calls that did not run alone; a
// call that may have run is a bad gateway or a timeout, whatever the reason.
func (r Result) Status() int {
	status := r.Reason.info().status
	switch r.Outcome {
	case Answered:
		return http.StatusOK
	case NotRun:
		if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
			return http.StatusServiceUnavailable
		}
	case Unknown:
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			return http.StatusBadGateway
		}
	}
	return status
}

// Package outcome defines the result of a call as reported to the caller: one of three
// outcomes and a reason from a closed set, sent in reply headers. A Result is passed through
// the program as a value instead of an error; errors are for failures that can not be
// expressed in these terms.
package outcome

import (
	"net/http"
	"time"
)

// Names of the reply headers that carry the outcome and its reason. Both are removed from
// the requests of callers and the replies of targets.
const (
	HeaderOutcome = "Cactusproxy-Outcome"
	HeaderReason  = "Cactusproxy-Reason"
	// HeaderPrefix is the prefix of all header names reserved for cactusproxy.
	HeaderPrefix = "Cactusproxy-"
)

// Outcome tells whether a call was executed.
type Outcome uint8

const (
	// Answered means that the reply carries the complete response of a target.
	Answered Outcome = iota + 1
	// NotRun means that no target executed the call and none will: for every attempt, either no
	// byte of the request was sent or the target refused it before executing it. For a call with
	// an idempotency key it refers to the key across all hosts, not to this request alone.
	NotRun
	// Unknown means that the call may have been executed.
	Unknown
)

// String returns the outcome as written in the reply header.
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

// Result is an outcome with its reason.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when the caller may retry. It is sent as Retry-After, rounded up to whole
	// seconds; zero sends no header.
	RetryAfter time.Duration
	// Detail explains the basis of a refusal in the log.
	Detail string
	// TargetsBusy is set if targets would take the request if it did not need one to itself.
	TargetsBusy bool
	// NoSlot is set if a call was refused because no target that it could go to had a slot free,
	// not because it had too little time left.
	NoSlot bool
	// Admission, if set, is the basis of a refusal while the service was short of room.
	Admission *Admission
}

// Admission is the basis of a refusal while a service is short of room.
type Admission struct {
	// Rank is the priority of the call, 0 being the most urgent.
	Rank int
	// Share is the fraction that is admitted of the calls of this rank and tenant.
	Share float64
}

// Refuse returns a NotRun result with the reason's default Retry-After.
func Refuse(r Reason) Result {
	return Result{Outcome: NotRun, Reason: r, RetryAfter: r.info().retryAfter}
}

// Uncertain returns an Unknown result with the reason's default Retry-After.
func Uncertain(r Reason) Result {
	return Result{Outcome: Unknown, Reason: r, RetryAfter: r.info().retryAfter}
}

// Status returns the HTTP status of a reply that cactusproxy generates. A target's response
// keeps its own status.
//
// The outcome takes precedence over the reason. Client libraries retry on 503 and 429 calls
// that they would not retry otherwise, so only calls that were not executed get these. A
// call that may have been executed is reported as a bad gateway or a gateway timeout,
// whatever the reason.
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

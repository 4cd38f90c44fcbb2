// Package dispatch executes calls. For each attempt it asks a picker for a target, forwards
// the request and classifies the result. A failed attempt is retried on another target if the
// call is idempotent or the request cannot have run, and the retry budget allows it; a slow one
// may be hedged by a second attempt. The outcome of a call is one of three: answered, not run
// (no target ran the request, so the caller may repeat it), or unknown (a target may have run
// it).
package dispatch

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/policy/sizes"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
)

// Idempotency says whether a call may be retried after an attempt that may have run.
type Idempotency uint8

const (
	// Idempotent calls may be retried at any time.
	Idempotent Idempotency = iota + 1
	// NonIdempotent calls are retried only if no earlier attempt can have run.
	NonIdempotent
)

// Call is a parsed and validated request of a caller.
type Call struct {
	Workspace *declare.Workspace
	Service   *declare.Service
	Key       blackboard.ServiceKey

	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   *Body

	// Idempotency is NonIdempotent for at-most-once calls and for methods that HTTP does not
	// define as idempotent.
	Idempotency Idempotency
	// AtMostOnce is set for calls that the workspace declares as at-most-once.
	AtMostOnce bool
	// IdempotencyKey is the key sent by the caller; empty if there is none.
	IdempotencyKey string
	// Arrived is when this host received the call.
	Arrived time.Time
	// PriorWait is how long before Arrived the caller first sent the request, as far as known.
	PriorWait time.Duration
	// StillAuthorized, if set, reports whether the call may still run: the caller's API key
	// may have been revoked since the call arrived.
	StillAuthorized func() bool
	// Caller identifies the caller; stored responses are only returned to the same caller.
	Caller string

	// MaxAttempts is the maximum number of attempts, at least 1.
	MaxAttempts int
	// Depth is the number of calls that led to this one.
	Depth int
	// Objective is the target latency, counted from when the caller first sent the request;
	// 0 if none is declared.
	Objective time.Duration
	// Priority is the call's priority; 0 is the most urgent.
	Priority int
	// Tenant is the tenant that owns the caller's API key; empty if there is none.
	Tenant string
	// Regions restricts the targets to these regions; empty allows all.
	Regions []string
	// ResponseSizes, if set, records the sizes of the responses to such calls.
	ResponseSizes *sizes.Estimator
	// ReleaseBuffered ends an attempt as soon as its response is completely in memory, because the
	// response waits for those to earlier requests of the caller's connection. Otherwise the target
	// would count as busy until the caller has the response.
	ReleaseBuffered bool
	// Identity identifies the request to the quarantine; zero if it was not computed.
	Identity suspicion.ID
}

// bytes estimates the total size of the request body and the response body.
func (c *Call) bytes() float64 {
	n := float64(max(0, c.Body.Length()))
	if c.ResponseSizes != nil {
		n += c.ResponseSizes.Bytes()
	}
	return n
}

// authorized reports whether the caller is still authorized.
func (c *Call) authorized() bool { return c.StillAuthorized == nil || c.StillAuthorized() }

// IdempotencyOf classifies an HTTP method (RFC 9110, section 9.2.2).
func IdempotencyOf(method string) Idempotency {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return Idempotent
	default:
		return NonIdempotent
	}
}

// timeoutMargin is subtracted from the remaining time that is sent to a target, so that the
// target's own timeout response arrives before this host gives up.
const timeoutMargin = time.Millisecond

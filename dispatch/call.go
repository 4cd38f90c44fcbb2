// Package dispatch carries out calls: it asks a picker for a target, sends the
// attempt, decides whether there may be another one, and says honestly how the
// call ended.
package dispatch

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/policy/sizes"
)

// Repeat says whether an attempt that may have run may be followed by another.
type Repeat uint8

const (
	// Idempotent calls may be repeated.
	Idempotent Repeat = iota + 1
	// Once calls are sent again only if no attempt can have run.
	Once
)

// Call is one caller's request, read and checked.
type Call struct {
	Workspace *declare.Workspace
	Service   *declare.Service
	Key       blackboard.ServiceKey

	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   *Body

	// Repeat is Once for at-most-once calls and for methods that HTTP does not
	// call idempotent.
	Repeat Repeat
	// AtMostOnce is set for the calls that the workspace declares so.
	AtMostOnce bool
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Arrived is when the call reached this host.
	Arrived time.Time
	// Waited is how long before that the caller first asked, as far as is known.
	Waited time.Duration
	// Allowed, if set, reports whether the call may still run: the caller's API key may have
	// been taken away since it came.
	Allowed func() bool
	// Caller identifies who asks, as far as stored answers go.
	Caller string

	// Attempts is the number of attempts allowed, at least 1.
	Attempts int
	// Depth is the number of calls that led to this one.
	Depth int
	// Objective is the time after the caller first asked within which an answer is worth most;
	// 0 if nothing was declared.
	Objective time.Duration
	// Priority is the rank of the call; 0 is the most urgent.
	Priority int
	// Regions are the only ones whose targets may get the call; all if empty.
	Regions []string
	// Sizes, if set, learns how large the answers to such calls are.
	Sizes *sizes.Estimator
	// Suspicion identifies the request for quarantine; 0 if not computed.
	Suspicion uint64
}

// bytes returns how many bytes the body and the answer are likely to have together.
func (c *Call) bytes() float64 {
	n := float64(max(0, c.Body.Length()))
	if c.Sizes != nil {
		n += c.Sizes.Bytes()
	}
	return n
}

// allowed reports whether the call may still run.
func (c *Call) allowed() bool { return c.Allowed == nil || c.Allowed() }

// RepeatOf returns the class of a method as HTTP defines it (RFC 9110, 9.2.2).
func RepeatOf(method string) Repeat {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return Idempotent
	default:
		return Once
	}
}

// margin is taken off the time left before it is told to a target, so that the
// target's refusal arrives before this host gives up.
const margin = time.Millisecond

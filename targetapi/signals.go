package targetapi

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Signals are what a target reports about itself in a response, whatever its status.
type Signals struct {
	// Load is the target's load report; HasLoad is false if there is none.
	Load    Load
	HasLoad bool
	// WarmUp is the remaining warm-up time of a cold target.
	WarmUp time.Duration
	// Leaving is set if the target is about to stop.
	Leaving bool
	Limit   Limit
	// RetryAfter is how long the target asks this host to send it nothing; 0 if it does not.
	RetryAfter time.Duration
}

// Limit is the number of requests that a target accepts from all hosts together. The zero value
// means unlimited.
type Limit struct {
	Named bool
	// PerSecond is the rate in requests per second.
	PerSecond float64
}

// Signals returns the signals in a response. Malformed headers are treated as missing.
func (c *Contract) Signals(status int, h http.Header) (s Signals) {
	s.Load, s.HasLoad = c.loadOf(h)
	s.WarmUp = c.warmUpOf(h)
	s.Leaving = c.Leaving != "" && h.Get(c.Leaving) == Yes
	s.Limit = c.limitOf(h)
	s.RetryAfter = retryAfterOf(status, h)
	return s
}

// retryAfterOf returns the Retry-After of a refusal. HTTP dates are not supported.
func retryAfterOf(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	n, ok := parseNonNegative(h.Get("Retry-After"))
	if !ok {
		return 0
	}
	return time.Duration(min(n, maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxRetryAfter caps Retry-After far above what any target asks for.
const maxRetryAfter = 24 * time.Hour

// parseNonNegative parses a non-negative decimal number.
func parseNonNegative(s string) (float64, bool) {
	n, err := strconv.ParseFloat(s, 64)
	ok := err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) && n >= 0
	return n, ok
}

func (c *Contract) loadOf(h http.Header) (Load, bool) {
	if c.Load == "" || h.Get(c.Load) == "" {
		return Load{}, false
	}
	return c.ReadLoad(h.Get(c.Load))
}

func (c *Contract) warmUpOf(h http.Header) time.Duration {
	if c.WarmUp == "" {
		return 0
	}
	d, err := time.ParseDuration(h.Get(c.WarmUp))
	if err != nil {
		return 0 // as if missing; the platform's record still applies
	}
	return max(0, d)
}

func (c *Contract) limitOf(h http.Header) Limit {
	if c.Limit == "" {
		return Limit{}
	}
	n, ok := parseNonNegative(h.Get(c.Limit))
	if !ok {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: n}
}

package targetapi

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Signals are what a target says of itself in an answer, whatever the answer's status.
type Signals struct {
	// Load is what the target has to do; HasLoad is false if it does not say.
	Load    Load
	HasLoad bool
	// WarmUp is how much longer the target is cold.
	WarmUp time.Duration
	// Leaving is set if the target is to stop.
	Leaving bool
	Limit   Limit
	// RetryAfter is how long the target wants nothing from this host; 0 if it does not say.
	RetryAfter time.Duration
}

// Limit is how many requests a target takes from all hosts together. The zero value is none.
type Limit struct {
	Named bool
	// PerSecond is in requests a second.
	PerSecond float64
}

// Signals returns what an answer tells of its target. What can not be read says nothing.
func (c *Contract) Signals(status int, h http.Header) (s Signals) {
	s.Load, s.HasLoad = c.loadOf(h)
	s.WarmUp = c.warmUpOf(h)
	s.Leaving = c.Leaving != "" && h.Get(c.Leaving) == Yes
	s.Limit = c.limitOf(h)
	s.RetryAfter = restOf(status, h)
	return s
}

// restOf reads the Retry-After of a refusal. A date in its place is not read.
func restOf(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	n, ok := number(h.Get("Retry-After"))
	if !ok {
		return 0
	}
	return time.Duration(min(n, maxRest.Seconds()) * float64(time.Second))
}

// maxRest is far beyond what any target asks for.
const maxRest = 24 * time.Hour

// number reads a decimal number that is not negative.
func number(s string) (float64, bool) {
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
		return 0 // what can not be read says nothing; the record still does
	}
	return max(0, d)
}

func (c *Contract) limitOf(h http.Header) Limit {
	if c.Limit == "" {
		return Limit{}
	}
	n, ok := number(h.Get(c.Limit))
	if !ok {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: n}
}

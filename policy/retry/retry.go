// Package retry limits retries and hedges. They are paid from a budget that the calls of a
// workspace or service fill, so that a fault of the targets never multiplies the load beyond the
// declared ratio. It also computes when to send a hedge.
package retry

import (
	"math"
	"time"
)

// maxTokens is the capacity of a Budget, which bounds the retries that may come at once after a
// quiet period.
const maxTokens = 10.0

// reserveRate is the number of retries per second that a workspace earns whatever its calls.
// Without it, a call of a workspace with little traffic could never be retried.
const reserveRate = 0.2

// Budget is a token bucket. Each call adds a fraction of a token, and each retry or hedge takes
// one. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
	last   time.Time
}

// NewBudget returns a budget of ratio retries per call, 0 to 1. A ratio of 0 allows none.
func NewBudget(ratio float64, now time.Time) *Budget {
	b := &Budget{last: now}
	b.SetRatio(ratio)
	if b.ratio > 0 {
		b.tokens = 1
	}
	return b
}

// SetRatio changes the ratio; saved tokens are kept.
func (b *Budget) SetRatio(ratio float64) { b.ratio = min(max(ratio, 0), 1) }

// RecordCall records the first attempt of a call.
func (b *Budget) RecordCall() {
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// Take takes a token for one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.ratio == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.ratio > 0 && now.After(b.last) {
		b.tokens = min(b.tokens+reserveRate*now.Sub(b.last).Seconds(), math.Max(b.tokens, 1))
	}
	b.last = now
}

// minHedgeDelay keeps scheduling delays from causing hedges of very fast services.
const minHedgeDelay = time.Millisecond

// HedgeDelay returns how long to wait for a response before a hedge of an idempotent call is
// sent. high is the observed 95th percentile of the latency, so that at most one call in twenty
// is hedged. It returns false if too little is known, or if the hedge could not be answered
// before the deadline.
func HedgeDelay(high, median, remaining time.Duration) (time.Duration, bool) {
	if high <= 0 {
		return 0, false
	}
	d := max(high, minHedgeDelay)
	if remaining > 0 && d+median > remaining {
		return 0, false
	}
	return d, true
}

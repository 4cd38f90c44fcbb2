// Package retry limits further attempts of calls. Retries and hedges are paid
// from a budget that the calls of a workspace fill, so that a fault of the
// targets is never multiplied into more load than the declared share.
package retry

import (
	"math"
	"time"
)

// maxSaved bounds what a quiet time can save up, in attempts: as many further
// attempts may come at once.
const maxSaved = 10.0

// reserve is what a workspace with little traffic earns a second whatever its
// calls, in attempts. Without it a call on a quiet day could never be retried.
const reserve = 0.2

// Budget is a token bucket that calls fill by a share and further attempts
// empty by one each. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
	last   time.Time
}

// NewBudget returns a budget of ratio further attempts for each call, 0 to 1.
// A ratio of 0 allows none at all.
func NewBudget(ratio float64, now time.Time) *Budget {
	b := &Budget{last: now}
	b.SetRatio(ratio)
	if b.ratio > 0 {
		b.tokens = 1
	}
	return b
}

// SetRatio changes the ratio; what was saved stays.
func (b *Budget) SetRatio(ratio float64) { b.ratio = min(max(ratio, 0), 1) }

// RecordCall notes the first attempt of a call.
func (b *Budget) RecordCall() {
	b.tokens = min(b.tokens+b.ratio, maxSaved)
}

// Take pays for one further attempt and reports whether the budget had it.
func (b *Budget) Take(now time.Time) bool {
	b.earn(now)
	if b.ratio == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) earn(now time.Time) {
	if b.ratio > 0 && now.After(b.last) {
		b.tokens = min(b.tokens+reserve*now.Sub(b.last).Seconds(), math.Max(b.tokens, 1))
	}
	b.last = now
}

// minHedgeDelay keeps very fast services from hedging on a scheduling delay.
const minHedgeDelay = time.Millisecond

// HedgeDelay returns how long to wait for an answer before a second attempt of
// an idempotent call. high is the learned 95th percentile of the latency; at
// most one call in twenty then wants a hedge. False means that too little is
// known, or that the answer of a hedge could not come before the deadline.
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

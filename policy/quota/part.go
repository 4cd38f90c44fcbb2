package quota

import (
	"fmt"
	"math"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// Part is an availability zone's share of a quota, a token bucket. One host owns it for the many
// hosts of the zone, each of which sees few of a tenant's requests. It is not safe for concurrent
// use.
type Part struct {
	tolerance Tolerance
	limit     Limit
	zones     float64

	tokens float64
	last   time.Time
	// denied is the approximate number of requests that found no token within the last
	// deniedWindow.
	denied float64
}

// deniedWindow is the time constant with which denied requests decay.
const deniedWindow = time.Second

// lateReserve is the time for which the refill of a part is reserved for requests that are not
// late.
const lateReserve = 250 * time.Millisecond

// Bounds of the time that a denied host waits before it asks again.
const (
	minWait = 50 * time.Millisecond
	maxWait = time.Second
)

// NewPart returns the part of one of zones availability zones, empty at the time from.
func NewPart(from time.Time, l Limit, t Tolerance, zones int) *Part {
	return &Part{tolerance: t, limit: l, zones: float64(max(zones, 1)), last: from}
}

// AddStartTokens adds the tokens that the part has after all hosts have started.
func (p *Part) AddStartTokens() { p.add(p.tolerance.start(p.limit) / p.zones) }

// Empty removes all tokens; the part refills from the given time on.
func (p *Part) Empty(from time.Time) {
	p.tokens = 0
	p.last = from
}

// TakeOver is Empty for a host that becomes the owner of the part. It keeps one token of a small
// part, which refills so slowly that requests would otherwise be refused for seconds.
func (p *Part) TakeOver(from time.Time) {
	p.Empty(from)
	if p.Small() {
		p.tokens = 1
	}
}

// SetLimit changes the quota. Tokens beyond the capacity of a lower one are lost.
func (p *Part) SetLimit(now time.Time, l Limit) {
	if l == p.limit {
		return
	}
	p.refill(now)
	p.limit = l
	p.add(0)
}

// Take takes a token for one request and reports whether there was one.
//
// A late request is a retry whose response can hardly meet its objective any more. It has to
// leave a reserve of tokens: while a tenant exceeds its quota, retries would otherwise take the
// tokens of the next requests, and no response would be in time.
func (p *Part) Take(now time.Time, late bool) bool {
	p.refill(now)
	needed := 1.0
	if late {
		needed += min(p.rate()*lateReserve.Seconds(), p.capacity()/2)
	}
	if p.tokens < needed {
		p.denied++
		return false
	}
	p.tokens--
	return true
}

// Lend removes up to want tokens for another zone and returns how many it removed.
func (p *Part) Lend(now time.Time, want float64) float64 {
	p.refill(now)
	lent := min(max(want, 0), p.tokens)
	p.tokens -= lent
	return lent
}

// AddBorrowed adds n tokens that another zone lent.
func (p *Part) AddBorrowed(now time.Time, n float64) {
	p.refill(now)
	p.add(max(n, 0))
}

// borrowAhead is how long the tokens of one borrowing last at the rate of the whole quota, which
// limits the messages between zones.
const borrowAhead = 100 * time.Millisecond

// BorrowAmount returns how many tokens to borrow for a request that found none.
func (p *Part) BorrowAmount() float64 {
	return max(0, 1-p.tokens) + p.limit.Rate*borrowAhead.Seconds()
}

// RetryAfter returns the time until the recently denied requests can be served.
func (p *Part) RetryAfter(now time.Time) time.Duration {
	p.refill(now)
	wait := (1 - p.tokens + p.denied) / p.rate()
	return min(max(time.Duration(wait*float64(time.Second)), minWait), maxWait)
}

// Tokens returns the number of tokens available.
func (p *Part) Tokens(now time.Time) float64 {
	p.refill(now)
	return p.tokens
}

// Small reports whether the part is so small that two hosts may own it for a while: it holds no more
// tokens than a host has after it started, and gains no more within a window. A part with a small
// burst and a fast refill is not small: two owners would gain twice its rate.
func (p *Part) Small() bool {
	start := max(p.tolerance.start(p.limit)/p.zones, 1)
	return p.capacity() <= start && p.rate()*p.tolerance.Window.Seconds() <= start
}

func (p *Part) rate() float64 { return p.limit.Rate / p.zones }

// capacity returns the most tokens that the part holds: at least one, or it would never serve a
// request.
func (p *Part) capacity() float64 { return max(p.tolerance.capacity(p.limit)/p.zones, 1) }

func (p *Part) refill(now time.Time) {
	d := now.Sub(p.last)
	if d <= 0 {
		return
	}
	p.last = now
	p.denied *= math.Exp(-d.Seconds() / deniedWindow.Seconds())
	p.add(p.rate() * d.Seconds())
}

func (p *Part) add(n float64) {
	p.tokens = min(p.tokens+n, p.capacity())
	if p.tokens < 0 || p.tokens > p.capacity() {
		invariant.Broken(invariant.QuotaPart, fmt.Sprintf("tokens=%g room=%g", p.tokens, p.capacity()))
	}
}

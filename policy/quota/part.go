package quota

import (
	"fmt"
	"math"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// Part is an availability zone's part of a quota: a token bucket. It answers requests of
// one tenant that reach many hosts, each of which sees few of them. It is not safe for
// concurrent use.
type Part struct {
	tolerance Tolerance
	limit     Limit
	zones     float64

	tokens float64
	last   time.Time
	// short is about how many requests found no token within the last shortFor.
	short float64
}

// shortFor is how long a request that found no token counts.
const shortFor = time.Second

// keptFor is for how long a part gains what late requests leave to others.
const keptFor = 250 * time.Millisecond

// Bounds of what a host that was denied waits before it asks again.
const (
	minWait = 50 * time.Millisecond
	maxWait = time.Second
)

// NewPart returns the part of one of so many zones, without tokens; it gains them from a
// moment on.
func NewPart(from time.Time, l Limit, t Tolerance, zones int) *Part {
	return &Part{tolerance: t, limit: l, zones: float64(max(zones, 1)), last: from}
}

// AddStartTokens gives the part the tokens that it has once all hosts have started anew.
func (p *Part) AddStartTokens() { p.add(p.tolerance.start(p.limit) / p.zones) }

// Empty takes all tokens away; the part gains some again from a moment on.
func (p *Part) Empty(from time.Time) {
	p.tokens = 0
	p.last = from
}

// TakeOver is Empty for a host that comes to own the part. It keeps one token of a small part,
// which gains so few that requests would be refused for seconds.
func (p *Part) TakeOver(from time.Time) {
	p.Empty(from)
	if p.Small() {
		p.tokens = 1
	}
}

// SetLimit changes the quota. A lower one takes tokens away that are beyond it.
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
// A late request is one that came back after a refusal and whose answer can hardly be in time
// any more. It leaves some tokens to others: while a tenant asks for more than its quota, those
// that come back would else take what the next ones need, and nobody were answered in time.
func (p *Part) Take(now time.Time, late bool) bool {
	p.refill(now)
	least := 1.0
	if late {
		least += min(p.rate()*keptFor.Seconds(), p.room()/2)
	}
	if p.tokens < least {
		p.short++
		return false
	}
	p.tokens--
	return true
}

// Lend takes tokens for another zone, at most as many as it wants, and returns how many.
func (p *Part) Lend(now time.Time, want float64) float64 {
	p.refill(now)
	lent := min(max(want, 0), p.tokens)
	p.tokens -= lent
	return lent
}

// AddBorrowed adds tokens that another zone lent.
func (p *Part) AddBorrowed(now time.Time, n float64) {
	p.refill(now)
	p.add(max(n, 0))
}

// borrowAhead is for how long what is borrowed at once lasts at the rate of the whole
// quota: each borrowing is a message to another zone.
const borrowAhead = 100 * time.Millisecond

// BorrowAmount returns how many tokens are worth borrowing for a request that found none.
func (p *Part) BorrowAmount() float64 {
	return max(0, 1-p.tokens) + p.limit.Rate*borrowAhead.Seconds()
}

// RetryAfter returns how long it takes until those are served that found no token of late.
func (p *Part) RetryAfter(now time.Time) time.Duration {
	p.refill(now)
	wait := (1 - p.tokens + p.short) / p.rate()
	return min(max(time.Duration(wait*float64(time.Second)), minWait), maxWait)
}

// Tokens returns the tokens at hand.
func (p *Part) Tokens(now time.Time) float64 {
	p.refill(now)
	return p.tokens
}

// Small reports whether the part holds so little that two hosts may own it for a while: no
// more than a host begins with that has just started.
func (p *Part) Small() bool { return p.room() <= max(p.tolerance.start(p.limit)/p.zones, 1) }

func (p *Part) rate() float64 { return p.limit.Rate / p.zones }

// room is the most tokens that the part holds: one at least, or it would never serve any.
func (p *Part) room() float64 { return max(p.tolerance.room(p.limit)/p.zones, 1) }

func (p *Part) refill(now time.Time) {
	d := now.Sub(p.last)
	if d <= 0 {
		return
	}
	p.last = now
	p.short *= math.Exp(-d.Seconds() / shortFor.Seconds())
	p.add(p.rate() * d.Seconds())
}

func (p *Part) add(n float64) {
	p.tokens = min(p.tokens+n, p.room())
	if p.tokens < 0 || p.tokens > p.room() {
		invariant.Broken(invariant.QuotaPart, fmt.Sprintf("tokens=%g room=%g", p.tokens, p.room()))
	}
}

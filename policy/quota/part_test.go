package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var tolerance = Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}

// maxWithin returns the largest number of events within any window of the given length.
func maxWithin(events []time.Time, window time.Duration) int {
	count, from := 0, 0
	for i, at := range events {
		for at.Sub(events[from]) >= window {
			from++
		}
		count = max(count, i-from+1)
	}
	return count
}

// Zones that lend each other tokens, lose some in transit and see their quota lowered must never
// serve more than the quota together.
func TestPartsTogetherStayWithinTheQuota(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		l := Limit{Rate: 0.5 + 100*rng.Float64(), Burst: 100 * rng.Float64()}
		zones := 1 + rng.IntN(5)
		lossy := seed%2 == 1
		parts := make([]*Part, zones)
		for i := range parts {
			parts[i] = NewPart(now, l, tolerance, zones)
			parts[i].AddStartTokens()
		}
		var served []time.Time
		for range 5000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond)))
			p := parts[rng.IntN(zones)]
			if p.Take(now, false) {
				served = append(served, now)
				continue
			}
			lent := parts[rng.IntN(zones)].Lend(now, p.BorrowAmount())
			if !lossy || rng.IntN(10) > 0 {
				p.AddBorrowed(now, lent)
			}
		}
		bound := tolerance.MaxRequests(l, tolerance.Window)
		assert.Check(t, float64(maxWithin(served, tolerance.Window)) <= bound, "seed %d: %d requests, at most %g are allowed", seed, maxWithin(served, tolerance.Window), bound)
		assert.Check(t, lossy || float64(len(served)) >= 0.8*min(5000, l.Rate*now.Sub(time.Unix(1000, 0)).Seconds()), "seed %d: only %d requests were served", seed, len(served))
	}
}

// The burst of a small tenant, divided among zones, is less than one request in each.
func TestSmallTenantIsServedInAnyZone(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 0.3, Burst: 1}, tolerance, 3)
	now = now.Add(time.Minute)
	assert.Check(t, p.Take(now, false))
	assert.Check(t, p.Take(now, false))
}

func TestLoweredQuotaRemovesTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 300, Burst: 300}, tolerance, 1)
	now = now.Add(time.Minute)
	lower := Limit{Rate: 3, Burst: 3}
	p.SetLimit(now, lower)
	assert.Check(t, p.Tokens(now) <= tolerance.capacity(lower))
}

func TestRetryAfterOfDeniedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 30, Burst: 1}, tolerance, 3)
	assert.Check(t, !p.Take(now, false))
	assert.Equal(t, p.RetryAfter(now), 200*time.Millisecond, "one token for this request and one for the next")
	for range 1000 {
		p.Take(now, false)
	}
	assert.Equal(t, p.RetryAfter(now), maxWait)
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 1e6, Burst: 1}, tolerance, 3)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		p.Take(now, false)
	}
}

// A tenant sends twice its quota, and each refused request is retried. Requests that can still be
// answered in time take precedence.
func TestLateRequestsLeaveTokensToOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 20, Burst: 1}, tolerance, 1)
	inTime, late := 0, 0
	for range 1000 {
		now = now.Add(25 * time.Millisecond)
		if p.Take(now, false) {
			inTime++
		}
		if p.Take(now, true) {
			late++
		}
	}
	assert.Check(t, inTime >= 490 && late <= 10, "%d in time, %d late", inTime, late)
	now = now.Add(time.Minute)
	assert.Check(t, p.Take(now, true), "there are tokens for all")
}

// Most requests are retries, and a few callers have far longer deadlines than the others.
func TestArrivalsDetectRetries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var a Arrivals
	late := func(remaining time.Duration) bool {
		return a.Late(Request{Objective: 600 * time.Millisecond, Remaining: remaining})
	}
	for range 100 {
		late(5*time.Second - time.Duration(rng.IntN(100))*time.Millisecond)
		late(4*time.Second - time.Duration(rng.IntN(1000))*time.Millisecond)
		late(3*time.Second - time.Duration(rng.IntN(1000))*time.Millisecond)
		if rng.IntN(20) == 0 {
			late(time.Minute)
		}
	}
	assert.Check(t, !late(4900*time.Millisecond))
	assert.Check(t, late(4500*time.Millisecond))
	assert.Check(t, !a.Late(Request{Remaining: time.Second}), "a route without an objective has no late requests")
	assert.Check(t, !a.Late(Request{Objective: time.Second, Remaining: -1}), "a caller that sends no deadline")
}

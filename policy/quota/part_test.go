package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var tolerance = Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}

// most returns the most events within any window of a length.
func most(events []time.Time, window time.Duration) int {
	found, from := 0, 0
	for i, at := range events {
		for at.Sub(events[from]) >= window {
			from++
		}
		found = max(found, i-from+1)
	}
	return found
}

// Zones that lend each other tokens, lose some on the way and see their quota lowered never
// serve more than the quota together.
func TestPartsTogetherKeepTheQuota(t *testing.T) {
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
		var ran []time.Time
		for range 5000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond)))
			p := parts[rng.IntN(zones)]
			if p.Take(now, false) {
				ran = append(ran, now)
				continue
			}
			lent := parts[rng.IntN(zones)].Lend(now, p.BorrowAmount())
			if !lossy || rng.IntN(10) > 0 {
				p.AddBorrowed(now, lent)
			}
		}
		bound := tolerance.MaxRequests(l, tolerance.Window)
		assert.Check(t, float64(most(ran, tolerance.Window)) <= bound, "seed %d: %d of %g", seed, most(ran, tolerance.Window), bound)
		assert.Check(t, lossy || float64(len(ran)) >= 0.8*min(5000, l.Rate*now.Sub(time.Unix(1000, 0)).Seconds()), "seed %d: only %d", seed, len(ran))
	}
}

// A small tenant's burst, divided among zones, is less than one request in each.
func TestSmallTenantIsServedInAnyZone(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 0.3, Burst: 1}, tolerance, 3)
	now = now.Add(time.Minute)
	assert.Check(t, p.Take(now, false))
	assert.Check(t, p.Take(now, false))
}

func TestLoweredQuotaTakesTokensAway(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 300, Burst: 300}, tolerance, 1)
	now = now.Add(time.Minute)
	lower := Limit{Rate: 3, Burst: 3}
	p.SetLimit(now, lower)
	assert.Check(t, p.Tokens(now) <= tolerance.room(lower))
}

func TestDeniedRequestsAreToldWhenThereIsRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPart(now, Limit{Rate: 30, Burst: 1}, tolerance, 3)
	assert.Check(t, !p.Take(now, false))
	assert.Equal(t, p.RetryAfter(now), 200*time.Millisecond, "one token for it, one for who comes then")
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

// A tenant asks for twice its quota, and each request that is refused comes back: those that
// can still be answered in time go first.
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
	assert.Check(t, p.Take(now, true), "there is room for all")
}

// Most requests came back, and a few callers wait for far longer than others.
func TestArrivalsTellWhoCameBack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var a Arrivals
	ask := func(left time.Duration) bool {
		return a.Late(Request{Objective: 600 * time.Millisecond, Remaining: left})
	}
	for range 100 {
		ask(5*time.Second - time.Duration(rng.IntN(100))*time.Millisecond)
		ask(4*time.Second - time.Duration(rng.IntN(1000))*time.Millisecond)
		ask(3*time.Second - time.Duration(rng.IntN(1000))*time.Millisecond)
		if rng.IntN(20) == 0 {
			ask(time.Minute)
		}
	}
	assert.Check(t, !ask(4900*time.Millisecond))
	assert.Check(t, ask(4500*time.Millisecond))
	assert.Check(t, !a.Late(Request{Remaining: time.Second}), "a route without an objective has no late requests")
	assert.Check(t, !a.Late(Request{Objective: time.Second, Remaining: -1}), "a caller that does not say")
}

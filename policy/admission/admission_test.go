package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// demandOf counts requests by tenant of one rank, or by rank if no tenant is given.
func demandOf(n map[Key]float64) *Demand {
	d := new(Demand)
	for k, c := range n {
		d.Add(k, c)
	}
	return d
}

// A tenant that floods gets as much as the others ask for at most, and they get all.
func TestTenantsWithinTheirShareAreAdmitted(t *testing.T) {
	d := demandOf(map[Key]float64{{0, "a"}: 10, {0, "b"}: 20, {0, "flood"}: 170})
	l := Shares(100, d, nil)
	r := Request{Key: Key{0, "a"}}
	assert.Equal(t, l.Decide(r, 0.999, 0), Decision{Admitted: true, Share: 1})
	r.Tenant = "flood"
	assert.Equal(t, l.Decide(r, 0.9, 0).Admitted, false)
	assert.Check(t, math.Abs(l.Heavy[r.Key]-70.0/170) < 1e-9, "%v", l)
	assert.Check(t, l.Decide(r, 0.1, 0.99).Spare)
	assert.Check(t, l.Decide(r, 0.1, 0).LeaveSlot, "30 of 100 are admitted in full")
}

// Shares follow weights: a large tenant within its quota is not taken for one that floods.
func TestSharesFollowWeights(t *testing.T) {
	d := demandOf(map[Key]float64{{0, "large"}: 60, {0, "small"}: 60})
	l := Shares(80, d, func(tenant string) float64 { return map[string]float64{"large": 4, "small": 1}[tenant] })
	assert.Check(t, l.Heavy[Key{0, "large"}] == 0, "admitted in full: %v", l)
	assert.Check(t, math.Abs(l.Heavy[Key{0, "small"}]-20.0/60) < 1e-9, "%v", l)
}

// Weights by quota protect large tenants within their quota and never take half of an equal share
// from a small one.
func TestQuotaWeights(t *testing.T) {
	assert.Check(t, QuotaWeights(0, nil) == nil)
	w := QuotaWeights(10, func(tenant string) float64 { return map[string]float64{"large": 100, "small": 1}[tenant] })
	assert.Equal(t, w.of("large"), 100.0)
	assert.Equal(t, w.of("small"), 10.0)
	assert.Equal(t, w.of("without quota"), 10.0)
}

// With more tenants over their share than a level lists, it stays bounded and none is starved.
func TestLevelIsBounded(t *testing.T) {
	d := new(Demand)
	for i := range 50 {
		d.Add(Key{0, fmt.Sprintf("t%d", i)}, 10+float64(i))
	}
	l := Shares(250, d, nil)
	assert.Equal(t, len(l.Heavy), maxHeavy)
	assert.Check(t, l.Ranks[0] > 0.2 && l.Ranks[0] < 1, "%v", l.Ranks)
	sum := 0.0
	for k, n := range d.Tracked {
		sum += n * l.Decide(Request{Key: k}, 0, 0).Share
	}
	assert.Check(t, math.Abs(sum-250) < 1e-6, "%f", sum)
}

// The more urgent rank gets what it asks for, the less urgent one the rest, but never nothing.
func TestUrgentRanksGoFirstAndEachKeepsAMinimum(t *testing.T) {
	d := demandOf(map[Key]float64{{0, "a"}: 80, {1, "a"}: 100})
	l := Shares(100, d, nil)
	assert.Equal(t, l.Decide(Request{Key: Key{0, "a"}}, 0.999, 0).Share, 1.0)
	assert.Check(t, math.Abs(l.Heavy[Key{1, "a"}]-0.2) < 1e-9, "%v", l)
	d = demandOf(map[Key]float64{{0, "a"}: 300, {2, "b"}: 300})
	l = Shares(100, d, nil)
	assert.Check(t, math.Abs(l.Heavy[Key{2, "b"}]*300-guaranteed*100) < 1e-9, "%v", l)
	assert.Check(t, l.Heavy[Key{0, "a"}] > l.Heavy[Key{2, "b"}])
}

// For random demands: no more is admitted than there is room for, all room is used, no rank is
// admitted more than a more urgent one, and no tenant that gets a part gets less of its rank than
// another.
func TestSharesOfRandomDemands(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		d, n := new(Demand), 1+rng.IntN(maxHeavy)
		for range n {
			d.Add(NewKey(rng.IntN(4), fmt.Sprintf("t%d", rng.IntN(40))), rng.ExpFloat64()*10)
		}
		total, room := d.Total(), 1+rng.Float64()*float64(n)*12
		l := Shares(room, d, nil)
		var admitted, asked [MaxRanks]float64
		sum, least, most := 0.0, [MaxRanks]float64{}, [MaxRanks]float64{}
		for k, c := range d.Tracked {
			share := l.Decide(Request{Key: k}, 0, 0).Share
			sum += share * c
			asked[k.Rank] += c
			admitted[k.Rank] += share * c
			if most[k.Rank] = max(most[k.Rank], share*c); share < 1 && (least[k.Rank] == 0 || share*c < least[k.Rank]) {
				least[k.Rank] = share * c
			}
		}
		assert.Check(t, math.Abs(sum-min(total, room)) < 1e-6*room, "admitted %f of %f, room %f", sum, total, room)
		last := 1.0
		for r := range asked {
			if asked[r] == 0 {
				continue
			}
			f := admitted[r] / asked[r]
			assert.Check(t, f <= last+1e-9, "rank %d: %f after %f", r, f, last)
			last = f
			assert.Check(t, least[r] == 0 || most[r] <= least[r]*(1+1e-9), "rank %d: %f, %f", r, least[r], most[r])
		}
	}
}

// With many more tenants than are tracked, memory stays bounded, a flood among them is found, and
// the small ones are admitted.
func TestTenThousandTenants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	d := new(Demand)
	for range 30000 {
		d.Add(NewKey(0, fmt.Sprintf("t%d", rng.IntN(10000))), 1)
		d.Add(NewKey(0, "flood"), 1)
	}
	assert.Check(t, len(d.Tracked) <= maxTracked)
	l := Shares(40000, d, nil)
	assert.Check(t, l.Decide(Request{Key: Key{0, "t1"}}, 0.95, 0).Admitted, "%v", l)
	flood := l.Decide(Request{Key: Key{0, "flood"}}, 0, 0).Share
	assert.Check(t, flood < 0.45, "%f", flood)
}

// Requests without a tenant aren't one tenant: they get the mean of their rank.
func TestRequestsWithoutTenantGetTheMean(t *testing.T) {
	l := Shares(50, demandOf(map[Key]float64{{0, ""}: 80, {0, "a"}: 20}), nil)
	assert.Equal(t, l.Heavy[Key{0, ""}], 0.5)
	assert.Equal(t, l.Heavy[Key{0, "a"}], 0.5)
}

// Bad input is limited to what there is: a negative rank is the most urgent, a very high one the
// least urgent.
func TestRanksOutOfRange(t *testing.T) {
	assert.Equal(t, NewKey(-3, "a"), Key{0, "a"})
	assert.Equal(t, NewKey(1<<40, "a"), Key{MaxRanks - 1, "a"})
}

// While there is no shortage, and before a host knows of one, nothing is refused.
func TestNothingIsRefusedWithoutALimit(t *testing.T) {
	for _, l := range []*Level{nil, {}} {
		d := l.Decide(Request{Key: Key{7, "a"}, Objective: time.Second, Left: -time.Second, Usual: time.Second}, 0.999, 0)
		assert.Equal(t, d, Decision{Admitted: true, Share: 1})
	}
}

// Under shortage a retry that can't be in time any more gives way; a first attempt with a short
// objective doesn't.
func TestHopelessRetriesGiveWay(t *testing.T) {
	l := Shares(10, demandOf(map[Key]float64{{0, "a"}: 5, {0, "flood"}: 50}), nil)
	first := Request{Key: Key{0, "a"}, Objective: 100 * time.Millisecond, Left: 100 * time.Millisecond, Usual: time.Second}
	assert.Check(t, l.Decide(first, 0, 0).Admitted)
	retry := first
	retry.Left = 20 * time.Millisecond
	assert.Check(t, !l.Decide(retry, 0, 0).Admitted)
}

// A host that hears nothing more of the others, as when it is cut off, must not refuse by what they
// said long ago.
func TestOldLevelsLoseWeight(t *testing.T) {
	l := Shares(10, demandOf(map[Key]float64{{0, "flood"}: 50}), nil)
	share := func(age time.Duration) float64 {
		return l.Decide(Request{Key: Key{0, "flood"}, Age: age}, 0, 0).Share
	}
	assert.Check(t, math.Abs(share(time.Second)-0.2) < 1e-9)
	assert.Check(t, share(3*time.Second) > 0.2 && share(3*time.Second) < 1)
	assert.Equal(t, share(5*time.Second), 1.0)
}

// Callers must not return together, and later the less is admitted.
func TestRetryAfterIsSpreadAndGrows(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.3, 0.9, 1} {
		early, late := RetryAfter(share, 0), RetryAfter(share, 0.999)
		assert.Check(t, early >= minRetryAfter && late <= maxRetryAfter && late > early*19/10, "%f: %s, %s", share, early, late)
	}
	assert.Check(t, RetryAfter(0.1, 0.5) > RetryAfter(0.3, 0.5)*5/4)
}

// The limit sets in with the first shortage, follows targets that come back, and ends at once when
// the load falls.
func TestLimitFollowsCapacity(t *testing.T) {
	var l Limit
	capacity, demand := 100.0, 300.0
	step := func() {
		admitted := demand
		if l.limited {
			admitted = min(demand, demand*l.room/l.demand)
		}
		l.Update(Observed{Admitted: admitted, NoRoom: max(0, admitted-capacity)}, demand)
	}
	for range 12 {
		step()
	}
	assert.Check(t, l.limited && l.room > 115 && l.room < 125, "%f", l.room)
	capacity = 200
	for range 40 {
		step()
	}
	assert.Check(t, l.room > 225 && l.room < 245, "%f", l.room)
	demand = 50
	for range 5 {
		step()
	}
	assert.Check(t, !l.limited || l.room > l.demand, "%+v", l)
}

// Late responses stand for lack of room where targets report no load; the usual one in ten doesn't,
// and however late all responses are, a part of the demand is admitted.
func TestLateResponsesStandForLackOfRoom(t *testing.T) {
	var l Limit
	for range 20 {
		l.Update(Observed{Admitted: 100, Answered: 100, Late: 15}, 100)
	}
	assert.Check(t, !l.limited)
	for range 20 {
		l.Update(Observed{Admitted: 100, Answered: 100, Late: 70}, 100)
	}
	assert.Check(t, l.limited)
	for range 100 {
		answered := min(100, l.room)
		l.Update(Observed{Admitted: answered, Answered: answered, Late: answered}, 100)
	}
	assert.Check(t, l.room >= leastByLateness*100, "%f", l.room)
}

// The decision with 10,000 tenants, and counting the request.
func BenchmarkDecide(b *testing.B) {
	names := make([]string, 10000)
	d := new(Demand)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i)
		d.Add(NewKey(i%4, names[i]), float64(i%100))
	}
	l := Shares(d.Total()/2, d, nil)
	counted := new(Demand)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := Request{Key: NewKey(i%4, names[i*7919%len(names)]), Objective: time.Second, Left: time.Second, Usual: 200 * time.Millisecond}
		counted.Add(r.Key, 1)
		if dec := l.Decide(r, float64(i%97)/97, 0.5); !dec.Admitted && RetryAfter(dec.Share, 0.5) == 0 {
			b.Fatal("no Retry-After")
		}
	}
}

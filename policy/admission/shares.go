package admission

import (
	"cmp"
	"slices"
)

// guaranteed is the fraction of the room that each rank keeps, however many more urgent requests
// there are. It is less for a rank of which a greater part would be admitted than of more urgent ones.
const guaranteed = 0.05

// Weights returns the weight of a tenant's share relative to others; nil stands for equal weights.
type Weights func(tenant string) float64

func (w Weights) of(tenant string) float64 {
	if w == nil {
		return 1
	}
	return w(tenant)
}

// QuotaWeights returns weights by the tenants' quotas, in requests per second, so that a large
// tenant within its quota isn't taken for one that floods. No weight is below the mean quota, which
// guarantees every tenant half of an equal share. The function rate returns 0 for a tenant without a
// quota.
func QuotaWeights(mean float64, rate func(tenant string) float64) Weights {
	if mean <= 0 {
		return nil
	}
	return func(tenant string) float64 { return max(mean, rate(tenant)) }
}

// Shares divides room for a number of requests among a demand.
func Shares(room float64, d *Demand, weights Weights) Level {
	l := Level{Limited: true, Heavy: make(map[Key]float64)}
	total := d.Total()
	if total <= room {
		for r := range l.Ranks {
			l.Ranks[r] = 1
		}
		return l
	}
	least := guarantees(room, d)
	// kept is what the ranks that are still to come are guaranteed.
	kept := 0.0
	for r, n := range d.Ranks {
		kept += least[r] * n
	}
	left := room
	for r, n := range d.Ranks {
		kept -= least[r] * n
		part := max(0, min(n, left-kept))
		left -= part
		l.divide(part, d, r, weights)
	}
	l.Full /= max(room, 1)
	return l
}

// guarantees returns the least admitted fraction of each rank. It is never above that of a more
// urgent one.
func guarantees(room float64, d *Demand) (least [MaxRanks]float64) {
	f, first := room/d.Total(), true
	for r, n := range d.Ranks {
		if n > 0 && !first {
			f = min(f, guaranteed*room/n)
		}
		first = first && n == 0
		least[r] = f
	}
	return least
}

// claim is the demand of one tenant in a rank, and what it got. The claim without a tenant stands
// for all that are not tracked.
type claim struct {
	key                 Key
	demand, weight, got float64
}

// maxHeavy is the number of tenants with a fraction of their own in a Level, which limits its size
// in messages. If more ask for more than their share, the rest of a rank gets the mean of the rest.
const maxHeavy = 32

// divide gives the tenants of a rank max-min fair shares of room.
func (l *Level) divide(room float64, d *Demand, rank int, weights Weights) {
	n := d.Ranks[rank]
	l.Ranks[rank] = 1
	if n == 0 || room >= n {
		l.Full += n
		return
	}
	claims := d.claims(rank, weights)
	if anonymous := d.Tracked[Key{Rank: rank}]; anonymous > 0 {
		// Requests without a tenant aren't one tenant: they get the mean.
		l.Heavy[Key{Rank: rank}] = room / n
		room -= room / n * anonymous
	}
	unit := fairUnit(claims, max(0, room))
	asked, got, full := 0.0, 0.0, 0.0
	for i := range claims {
		c := &claims[i]
		c.got = min(c.demand, unit*c.weight)
		asked += c.demand
		got += c.got
		if c.got == c.demand {
			full += c.got
		}
	}
	// Those that ask for the most beyond their share come first.
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(b.demand-b.got, a.demand-a.got) })
	for _, c := range claims {
		if c.got == c.demand || len(l.Heavy) >= maxHeavy {
			break
		}
		if c.key.Tenant != "" {
			l.Heavy[c.key] = c.got / c.demand
			asked -= c.demand
			got -= c.got
		}
	}
	if asked > 0 && got < asked*(1-1e-9) {
		l.Ranks[rank] = got / asked
		return
	}
	l.Full += full
}

// claims returns the demand of the tenants of a rank. The untracked demand counts as that of several
// tenants, each of which asks for as much, relative to its weight, as the smallest tracked one.
func (d *Demand) claims(rank int, weights Weights) (claims []claim) {
	least := 0.0
	for k, n := range d.Tracked {
		if k.Rank != rank || k.Tenant == "" {
			continue
		}
		w := weights.of(k.Tenant)
		claims = append(claims, claim{key: k, demand: n, weight: w})
		if least == 0 || n/w < least {
			least = n / w
		}
	}
	rest := claim{demand: d.Untracked(rank), weight: 1}
	if rest.demand <= 0 {
		return claims
	}
	if least > 0 {
		rest.weight = rest.demand / least
	}
	return append(claims, rest)
}

// fairUnit returns the fair share of a tenant of weight 1, such that the shares, none greater than
// the demand, add up to room. It orders the claims.
func fairUnit(claims []claim, room float64) float64 {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weight := 0.0
	for _, c := range claims {
		weight += c.weight
	}
	unit := 0.0
	for _, c := range claims {
		unit = room / weight
		if c.demand > unit*c.weight {
			return unit
		}
		room -= c.demand
		weight -= c.weight
	}
	return unit
}

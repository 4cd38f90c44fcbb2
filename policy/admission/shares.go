package admission

import (
	"cmp"
	"slices"
)

// guaranteed is the fraction of the room that each rank keeps, however many more urgent requests
// there are, unless that admitted a greater part of it than of those.
const guaranteed = 0.05

// Weights returns the weight of a tenant's share relative to others; nil stands for equal weights.
type Weights func(tenant string) float64

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

// claim is the demand of one tenant in a rank.
type claim struct {
	key            Key
	demand, weight float64
}

// divide gives the tenants of a rank max-min fair shares of room.
//
// Those that are not tracked are taken for as many tenants as would each ask for what the least of
// the tracked ones does. Requests without a tenant get the mean fraction.
func (l *Level) divide(room float64, d *Demand, rank int, weights Weights) {
	n := d.Ranks[rank]
	if n == 0 || room >= n {
		l.Ranks[rank] = 1
		l.Full += n
		return
	}
	mean := room / n
	var claims []claim
	least := 0.0
	for k, c := range d.Tracked {
		switch {
		case k.Rank != rank:
		case k.Tenant == "":
			l.Heavy[k] = mean
			room -= mean * c
		default:
			w := weightOf(weights, k.Tenant)
			claims = append(claims, claim{k, c, w})
			if least == 0 || c/w < least {
				least = c / w
			}
		}
	}
	light := claim{demand: d.untracked(rank), weight: 1}
	if least > 0 {
		light.weight = light.demand / least
	}
	if light.demand > 0 {
		claims = append(claims, light)
	}
	unit := fairUnit(claims, max(0, room))
	l.Ranks[rank] = 1
	for _, c := range claims {
		switch got := unit * c.weight; {
		case got >= c.demand:
			l.Full += c.demand
		case c.key.Tenant == "":
			l.Ranks[rank] = got / c.demand
		default:
			l.Heavy[c.key] = got / c.demand
		}
	}
}

func weightOf(w Weights, tenant string) float64 {
	if w == nil {
		return 1
	}
	return w(tenant)
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

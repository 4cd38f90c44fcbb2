package admission

// maxTracked is the number of keys that a Demand counts one by one. Every key with more than one in
// maxTracked+1 of the requests is among them, which suffices for those beyond a fair share.
const maxTracked = 64

// Demand counts requests by rank, and by rank and tenant for the tenants with the most (the heavy
// hitters algorithm of Misra and Gries). Its size does not depend on the number of tenants. The
// zero value is empty. It is not safe for concurrent use.
type Demand struct {
	Ranks [MaxRanks]float64
	// Tracked are lower bounds of the requests of keys. The rest of a rank is not attributed.
	Tracked map[Key]float64
}

// Add counts n requests of a key.
func (d *Demand) Add(k Key, n float64) {
	d.Ranks[k.Rank] += n
	d.track(k, n)
}

func (d *Demand) track(k Key, n float64) {
	if old, ok := d.Tracked[k]; ok || len(d.Tracked) < maxTracked {
		if d.Tracked == nil {
			d.Tracked = make(map[Key]float64, maxTracked)
		}
		d.Tracked[k] = old + n
		return
	}
	least, most := n, 0.0
	for _, c := range d.Tracked {
		least, most = min(least, c), max(most, c)
	}
	if most <= least {
		clear(d.Tracked) // the usual case with many tenants, and faster than one by one
	}
	for other, c := range d.Tracked {
		if c <= least {
			delete(d.Tracked, other)
		} else {
			d.Tracked[other] = c - least
		}
	}
	if n > least {
		d.Tracked[k] = n - least
	}
}

// AddUntracked counts n requests of a rank without attributing them.
func (d *Demand) AddUntracked(rank int, n float64) {
	d.Ranks[NewKey(rank, "").Rank] += n
}

// Merge adds the counts of another Demand, multiplied by weight.
func (d *Demand) Merge(o *Demand, weight float64) {
	for r, n := range o.Ranks {
		d.Ranks[r] += weight * n
	}
	for k, n := range o.Tracked {
		d.track(k, weight*n)
	}
}

// minCount is the count below which a decayed key is dropped.
const minCount = 0.05

// Scale multiplies all counts by a factor of at most 1 and drops keys without any left.
func (d *Demand) Scale(factor float64) {
	for r := range d.Ranks {
		d.Ranks[r] *= factor
	}
	for k, n := range d.Tracked {
		if n *= factor; n < minCount {
			delete(d.Tracked, k)
		} else {
			d.Tracked[k] = n
		}
	}
}

// Total returns the number of requests.
func (d *Demand) Total() (n float64) {
	for _, r := range d.Ranks {
		n += r
	}
	return n
}

// Untracked returns the requests of a rank that no key accounts for.
func (d *Demand) Untracked(rank int) float64 {
	n := d.Ranks[rank]
	for k, c := range d.Tracked {
		if k.Rank == rank {
			n -= c
		}
	}
	return max(n, 0)
}

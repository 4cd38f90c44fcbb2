// Package latency tracks the latency distribution of a service's calls. It keeps a histogram with
// logarithmic buckets and exponential decay, so that a quantile costs no allocation and follows a
// change of load within about a thousand calls.
package latency

import (
	"math"
	"math/bits"
	"time"
)

const (
	subBits      = 3 // log2 of the number of buckets per octave
	resolution   = time.Microsecond
	buckets      = 26 << subBits // 1 µs to a few minutes
	decayAt      = 4000.0        // total weight at which all counts are halved
	refreshEvery = 32            // calls between updates of the cached quantiles
	meanWeight   = 1.0 / 256     // weight of one call in the moving average
)

// Tracker tracks one latency distribution. The zero value is an empty one. It is not safe for
// concurrent use.
type Tracker struct {
	counts [buckets]float64
	total  float64
	n      uint64
	mean   float64 // ns
	median time.Duration
	p95    time.Duration
}

// cachedQuantile is the quantile that is cached besides the median.
const cachedQuantile = 0.95

// Observe adds the latency of one complete response.
func (t *Tracker) Observe(d time.Duration) {
	if d <= 0 {
		d = 1
	}
	t.n++
	w := max(meanWeight, 1/float64(t.n))
	t.mean += (float64(d) - t.mean) * w
	t.counts[bucket(d)]++
	t.total++
	if t.total >= decayAt {
		t.halve()
	}
	if t.n%refreshEvery == 0 || t.n < refreshEvery {
		t.median = t.Quantile(0.5)
		t.p95 = t.Quantile(cachedQuantile)
	}
}

func (t *Tracker) halve() {
	for i := range t.counts {
		t.counts[i] /= 2
	}
	t.total /= 2
}

// Count returns the number of latencies observed.
func (t *Tracker) Count() uint64 { return t.n }

// Mean returns the moving average, or 0 if there are no samples.
func (t *Tracker) Mean() time.Duration { return time.Duration(t.mean) }

// Median returns the cached median, which may lag by a few calls.
func (t *Tracker) Median() time.Duration { return t.median }

// P95 returns the cached 95th percentile, which may lag by a few calls.
func (t *Tracker) P95() time.Duration { return t.p95 }

// RequiredTime returns the time that a call must have left to be worth accepting if it first
// waits for a slot. Without a wait the median is enough, since most calls make it. A long wait is
// itself uncertain, so up to the difference to the 95th percentile is added: slots spent on
// responses that come too late are wasted.
func (t *Tracker) RequiredTime(wait time.Duration) time.Duration {
	return wait + t.median + min(wait, t.p95-t.median)
}

// Quantile returns the upper bound of the bucket that contains the quantile q, 0 to 1.
func (t *Tracker) Quantile(q float64) time.Duration {
	rank := q * t.total
	sum := 0.0
	for i, c := range t.counts {
		sum += c
		if c > 0 && sum >= rank {
			return upperBound(i)
		}
	}
	return 0
}

func bucket(d time.Duration) int {
	u := uint64(d / resolution)
	if u < 1<<subBits {
		return int(u)
	}
	octave := bits.Len64(u) - 1 - subBits
	i := (octave+1)<<subBits + int(u>>octave)&(1<<subBits-1)
	return min(i, buckets-1)
}

func upperBound(i int) time.Duration {
	if i < 1<<subBits {
		return time.Duration(i+1) * resolution
	}
	octave := i>>subBits - 1
	low := float64(1<<subBits + i&(1<<subBits-1) + 1)
	return time.Duration(math.Ldexp(low, octave)) * resolution
}

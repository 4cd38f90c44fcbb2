// Package latency learns how long the calls of a service take. It keeps a
// histogram with logarithmic buckets that slowly forgets, so that a quantile
// costs no allocation and follows a change of load within about a thousand
// calls.
package latency

import (
	"math"
	"math/bits"
	"time"
)

const (
	subBits   = 3 // buckets of an octave, as a power of two
	unit      = time.Microsecond
	buckets   = 26 << subBits // 1 us to a few minutes
	forgetAt  = 4000.0        // weight at which the histogram is halved
	refresh   = 32            // calls between two computations of the quantiles
	meanShare = 1.0 / 256     // weight of one call in the running mean
)

// Tracker learns one distribution. The zero value knows nothing.
type Tracker struct {
	counts [buckets]float64
	total  float64
	n      uint64
	mean   float64 // ns
	median time.Duration
	high   time.Duration
}

// highQuantile is kept ready, as the median is.
const highQuantile = 0.95

// Observe adds the latency of one whole answer.
func (t *Tracker) Observe(d time.Duration) {
	if d <= 0 {
		d = 1
	}
	t.n++
	w := max(meanShare, 1/float64(t.n))
	t.mean += (float64(d) - t.mean) * w
	t.counts[bucket(d)]++
	t.total++
	if t.total >= forgetAt {
		t.halve()
	}
	if t.n%refresh == 0 || t.n < refresh {
		t.median = t.Quantile(0.5)
		t.high = t.Quantile(highQuantile)
	}
}

func (t *Tracker) halve() {
	for i := range t.counts {
		t.counts[i] /= 2
	}
	t.total /= 2
}

// Count returns the number of latencies seen.
func (t *Tracker) Count() uint64 { return t.n }

// Mean returns the running mean, or 0 if nothing is known.
func (t *Tracker) Mean() time.Duration { return time.Duration(t.mean) }

// Median returns the median as of a few calls ago.
func (t *Tracker) Median() time.Duration { return t.median }

// P95 returns the 95th percentile as of a few calls ago.
func (t *Tracker) P95() time.Duration { return t.high }

// RequiredTime returns the time that a call must have left to be worth taking if it
// has to wait first. Without a wait the median is enough: most calls make it. A
// long wait is itself uncertain, so that up to the 95th percentile is added:
// slots spent on answers that come too late are lost to everyone.
func (t *Tracker) RequiredTime(wait time.Duration) time.Duration {
	return wait + t.median + min(wait, t.high-t.median)
}

// Quantile returns the upper edge of the bucket that holds quantile q.
func (t *Tracker) Quantile(q float64) time.Duration {
	want := q * t.total
	sum := 0.0
	for i, c := range t.counts {
		sum += c
		if c > 0 && sum >= want {
			return edge(i)
		}
	}
	return 0
}

func bucket(d time.Duration) int {
	u := uint64(d / unit)
	if u < 1<<subBits {
		return int(u)
	}
	octave := bits.Len64(u) - 1 - subBits
	i := (octave+1)<<subBits + int(u>>octave)&(1<<subBits-1)
	return min(i, buckets-1)
}

func edge(i int) time.Duration {
	if i < 1<<subBits {
		return time.Duration(i+1) * unit
	}
	octave := i>>subBits - 1
	low := float64(1<<subBits + i&(1<<subBits-1) + 1)
	return time.Duration(math.Ldexp(low, octave)) * unit
}

package metrics

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram of latencies, in microseconds with two digits, up to a minute. It is
// safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const (
	maxLatency    = time.Minute
	latencyDigits = 2
)

var _ expvar.Var = (*Histogram)(nil)

// Histogram returns the histogram with this name, making it at first use.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.root.Get(name).(*Histogram); ok {
		return h
	}
	h := &Histogram{h: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
	s.root.Set(name, h)
	return h
}

// Observe adds a latency. One beyond a minute counts as a minute.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(d, maxLatency).Microseconds()) // in range by the line above
}

// String returns the usual percentiles as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := func(p float64) int64 { return h.h.ValueAtQuantile(p) }
	return fmt.Sprintf(`{"count":%d,"p50_us":%d,"p90_us":%d,"p99_us":%d,"p999_us":%d,"max_us":%d}`,
		h.h.TotalCount(), q(50), q(90), q(99), q(99.9), h.h.Max())
}

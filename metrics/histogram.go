package metrics

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records latencies in microseconds with a precision of two significant digits, up
// to one minute. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

const (
	maxLatency    = time.Minute
	latencyDigits = 2
)

var _ expvar.Var = (*Histogram)(nil)

// Histogram returns the histogram with this name, creating it on first use.
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

// Observe records a latency. Latencies above one minute are recorded as one minute.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(d, maxLatency).Microseconds()) // clamped to the histogram's range
}

// String returns the count, percentiles and maximum as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := func(p float64) int64 { return h.h.ValueAtQuantile(p) }
	return fmt.Sprintf(`{"count":%d,"p50_us":%d,"p90_us":%d,"p99_us":%d,"p999_us":%d,"max_us":%d}`,
		h.h.TotalCount(), q(50), q(90), q(99), q(99.9), h.h.Max())
}

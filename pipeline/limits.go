package pipeline

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/metrics"
)

const (
	// aheadOverhead is the memory in bytes that an in-memory connection takes: the server's buffers
	// (10 kB) and the stacks of two goroutines.
	aheadOverhead = 16 << 10
	// maxSpares is how many in-memory connections of one caller's connection are kept for its next
	// requests, and spareTTL for how long. Without them a request that runs ahead takes a third more
	// processor time, for the new connection and the growth of its stack.
	maxSpares = 8
	spareTTL  = time.Second
)

// limits are the limits of one host.
type limits struct {
	perHost int64
	ahead   atomic.Int64
	memory  Memory
}

// takeRequest counts a request that runs ahead and reports whether the host's limit allows it.
func (l *limits) takeRequest() bool {
	if l.ahead.Add(1) <= l.perHost {
		return true
	}
	l.ahead.Add(-1)
	return false
}

func (l *limits) returnRequest() { l.ahead.Add(-1) }

// counters are the metrics of a Pipeline, in the map "pipeline".
type counters struct {
	// ahead counts requests that ran ahead, waited those that were read early and waited for all
	// before them, and dropped those that ran ahead and whose connection ended before their
	// response.
	ahead, waited, dropped *expvar.Int
	// boundConnection, boundHost and boundMemory count how often a request waited for a limit.
	boundConnection, boundHost, boundMemory *expvar.Int
}

func newCounters(m *metrics.Set) counters {
	counter := m.Counters("pipeline")
	return counters{
		ahead:           counter("ahead"),
		waited:          counter("waited"),
		dropped:         counter("dropped"),
		boundConnection: counter("bound_connection"),
		boundHost:       counter("bound_host"),
		boundMemory:     counter("bound_memory"),
	}
}

package quarantine

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// BenchmarkMemory measures the memory of a Quarantine that learned of 10,000 quarantined requests, and the
// time of a request beside them. In a minute of 100,000 requests none adds to the memory.
func BenchmarkMemory(b *testing.B) {
	for _, target := range []ports.RunID{"target-1", "other"} {
		b.Run("answer of "+string(target), func(b *testing.B) { benchmarkMemory(b, target) })
	}
}

// benchmarkMemory sends requests that a target answers; requests that are held back have lost target-1.
func benchmarkMemory(b *testing.B, target ports.RunID) {
	const quarantined, requests = 10_000, 100_000
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	q := New(Deps{Link: peernet.New().Join("a"), Members: func() []ports.HostID { return nil }, Metrics: metrics.New(), Log: zap.NewNop()})
	q.locked(func(now time.Time) {
		for i := range uint64(quarantined) {
			r := oldRecord(digestOf(i))
			for j := range r.Losses {
				r.Losses[j].Target = ports.RunID(fmt.Sprintf("target-%d", i%500+uint64(j)))
			}
			q.tracker.Merge(now, r, false)
		}
	})
	held := heap() - before
	send := func(i uint64) {
		a, _ := q.Admit(context.Background(), suspicion.ID{Request: digestOf(i)})
		a.Started(target)
		a.Completed()
	}
	for i := range uint64(requests) {
		send(2*quarantined + i)
	}
	after := heap() - before
	i := uint64(0)
	for b.Loop() {
		send(10*requests + i)
		i++
	}
	b.ReportMetric(float64(held), "bytes-held")
	b.ReportMetric(float64(after), "bytes-after-requests")
	b.ReportMetric(float64(q.entries.Load()), "held")
	runtime.KeepAlive(q)
}

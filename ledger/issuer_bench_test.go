package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// BenchmarkIssuedKey issues and redeems keys at their issuer and stores responses
// of different sizes. It reports the memory used per redeemed key.
func BenchmarkIssuedKey(b *testing.B) {
	for _, size := range []int{0, 200} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			l := New(Deps{
				Table: store.New(store.Limits{}), Link: peernet.New().Join("h"), Host: "h", Incarnation: 1,
				Options: Options{ClusterKeys: [][]byte{[]byte("secret")}, ResponseMemory: 1 << 40},
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				k := key("")
				k.Value = l.Issue(k.Workspace, k.Service, k.Caller)
				c, _, _ := l.Begin(context.Background(), k)
				c.BeginAttempt()
				c.Finish(context.Background(), &Response{Status: 201, Body: make([]byte, size)})
			}
			l.runLog = newRunLog()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/key")
			runtime.KeepAlive(l)
		})
	}
}

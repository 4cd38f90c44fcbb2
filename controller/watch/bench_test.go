package watch

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

// targetList returns a list of n targets of four services, the first of which has half of them.
func targetList(n int) directory.Changes {
	c := directory.Changes{Revision: directory.Revision(n), AllTargets: true}
	for i := range n {
		c.Targets = append(c.Targets, changedTarget(i, directory.Revision(i+1)))
	}
	return c
}

func changedTarget(i int, at directory.Revision) directory.Target {
	return directory.Target{
		ID: ports.HostID(fmt.Sprintf("i-%08x", i*2654435761)), Revision: at, Incarnation: 1, Slots: 2,
		Service: fmt.Sprint("service-", max(0, i%8-4)), Addr: fmt.Sprintf("10.64.%d.%d:8080", i/250, i%250), Zone: fmt.Sprint("zone-", i%5),
	}
}

func newController(tb testing.TB) *Controller {
	tb.Helper()
	board := blackboard.New()
	tb.Cleanup(func() { _ = board.Close() })
	return New(Deps{
		Self: directory.Host{Addr: addr(0), Zone: "zone-0"}, Link: peernet.New().Join(ports.HostID(addr(0))),
		Board: board, Metrics: metrics.New(), Log: zap.NewNop(),
	})
}

// A release changes thousands of targets, each at every host: the cost of a change must not grow
// with the total number of targets.
func BenchmarkOneChangeAmongTargets(b *testing.B) {
	for _, n := range []int{1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newController(b)
			now := time.Now()
			c.merge(now, targetList(n), "other")
			at := directory.Revision(n)
			b.ReportAllocs()
			for b.Loop() {
				at++
				c.merge(now, directory.Changes{Revision: at, Targets: []directory.Target{changedTarget(int(at)%n, at)}}, "other")
			}
		})
	}
}

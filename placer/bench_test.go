package placer

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// failingUpstream fails all probes; the benchmark needs none, since all load reports are fresh.
type failingUpstream struct{}

func (failingUpstream) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	return upstream.Result{Err: upstream.ErrConnLimit}
}

// BenchmarkPickOf100Targets measures one choice among 100 targets with fresh load reports.
func BenchmarkPickOf100Targets(b *testing.B) {
	board := blackboard.New()
	defer board.Close()
	key := blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}
	list := &blackboard.Targets{ByService: make(map[blackboard.ServiceKey][]blackboard.Target)}
	for i := range 100 {
		zone := fmt.Sprint("z", i%3)
		list.ByService[key] = append(list.ByService[key], blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%02d", i)), Slots: 2, Zone: zone})
	}
	board.Targets.Store(list)
	p := New(Deps{
		Board: board, Upstream: failingUpstream{}, Probes: NewProbeQuota(board, 0), Zone: "z0",
		Contract: &targetapi.Contract{}, Metrics: metrics.New(), Log: zap.NewNop(),
	})
	s := p.service(key)
	s.refresh(time.Now())
	for _, t := range s.targets {
		s.recordLoad(time.Now().Add(time.Hour), t, targetapi.Load{Slots: 2, Slowdown: 1})
	}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		g, refusal := p.Pick(ctx, pick.Request{Service: key})
		if g == nil {
			assert.Equal(b, refusal.Reason, "")
		}
		g.Release(pick.Report{Class: pick.Canceled})
	}
}

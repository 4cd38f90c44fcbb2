package choose

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/slots"
)

// The benchmark drives the policy code with its own events. This test sends the
// same load through package slots, with its locks, timers and messages, on a fake
// network in virtual time, and checks that both give similar latencies.
func TestBenchAgreesWithTheRealPicker(t *testing.T) {
	t.Parallel()
	c := Deployments()[0]
	c.Calls, c.Load, c.StragglerShare = 8_000, 0.7, 0
	model := Run(c, StrategyCoordinated, 1)
	var real []time.Duration
	synctest.Test(t, func(*testing.T) { real = runReal(c) })
	slices.Sort(real)
	near := func(name string, got, want time.Duration) {
		r := ratio(ms(got), ms(want))
		t.Logf("%s: %s, simulation gives %s", name, got, want)
		assert.Check(t, r > 0.8 && r < 1.25, "%s: %s, simulation gives %s", name, got, want)
	}
	near("median", quantile(real, 0.5), model.P50)
	near("99th percentile", quantile(real, 0.99), model.P99)
}

// realRun runs the production picker of every host.
type realRun struct {
	c       Case
	pickers []*slots.Picker
	boards  []*blackboard.Board
	targets map[ports.HostID]chan struct{} // a semaphore of slots per target
	listed  []blackboard.Target
}

func newRealRun(c Case) *realRun {
	r := &realRun{c: c, targets: make(map[ports.HostID]chan struct{})}
	for i := range c.Targets {
		id := ports.HostID(fmt.Sprintf("t%03d", i))
		r.targets[id] = make(chan struct{}, c.Slots)
		r.listed = append(r.listed, blackboard.Target{ID: id, Zone: zoneName(i % c.Zones)})
	}
	members := &blackboard.Members{}
	zones := make(map[peer.HostID]int)
	for i := range c.Hosts {
		id := ports.HostID(fmt.Sprintf("h%02d", i))
		zones[id] = i % c.Zones
		members.Members = append(members.Members, blackboard.Member{
			Host:  ports.Host{ID: id, Zone: zoneName(i % c.Zones)},
			State: blackboard.MemberLive,
		})
	}
	net := peernet.New()
	net.Delay = func(from, to peer.HostID) time.Duration {
		if zones[from] == zones[to] {
			return c.Near
		}
		return c.Far
	}
	for _, m := range members.Members {
		r.addHost(net.Join(m.Host.ID), members)
	}
	return r
}

func (r *realRun) addHost(link *peernet.Link, members *blackboard.Members) {
	b := blackboard.New()
	b.Config.Store(&declare.Config{Workspaces: []declare.Workspace{{
		Name:     benchService.Workspace,
		Services: []declare.Service{{Name: benchService.Service, Slots: r.c.Slots, MaxQueue: r.c.MaxQueue}},
	}}})
	b.Members.Store(members)
	b.Targets.Store(&blackboard.Targets{
		ByService: map[blackboard.ServiceKey][]blackboard.Target{benchService: r.listed},
	})
	r.boards = append(r.boards, b)
	r.pickers = append(r.pickers, slots.New(slots.Deps{
		Board:   b,
		Link:    link,
		Metrics: metrics.New(),
		Log:     zap.NewNop(),
		Seed:    uint64(len(r.pickers)),
		Coordinator: func(blackboard.ServiceKey, *blackboard.Members) (ports.HostID, bool) {
			return members.Members[0].Host.ID, true
		},
	}))
}

func runReal(c Case) []time.Duration {
	r := newRealRun(c)
	rng := rand.New(rand.NewPCG(1, 1))
	gap := time.Duration(float64(c.Mean) / (c.Load * float64(c.Targets*c.Slots)))
	latencies := make([]time.Duration, c.Calls)
	var calls sync.WaitGroup
	for i := range c.Calls {
		time.Sleep(exponential(rng, gap))
		host, work := rng.IntN(c.Hosts), lognormal(rng, c.Mean, c.Sigma)
		calls.Go(func() { latencies[i] = r.call(host, work) })
	}
	calls.Wait()
	for i, p := range r.pickers {
		p.Close()
		_ = r.boards[i].Close()
	}
	time.Sleep(time.Second) // let messages in flight arrive
	return latencies[c.Calls/10:]
}

// call makes one call through the picker of a host to a target that runs calls in
// order of arrival, and returns its latency.
func (r *realRun) call(host int, work time.Duration) time.Duration {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.c.Timeout)
	defer cancel()
	g, _ := r.pickers[host].Pick(ctx, pick.Request{Service: benchService})
	if g == nil {
		return r.c.Timeout
	}
	sent := time.Now()
	oneWay := r.c.Far
	if g.Target().Zone == zoneName(host%r.c.Zones) {
		oneWay = r.c.Near
	}
	time.Sleep(oneWay)
	r.targets[g.Target().ID] <- struct{}{}
	time.Sleep(work)
	<-r.targets[g.Target().ID]
	time.Sleep(oneWay)
	g.Release(pick.Report{Class: pick.OK, Latency: time.Since(sent), Load: -1})
	return time.Since(began)
}

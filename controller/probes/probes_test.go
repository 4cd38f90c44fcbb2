package probes

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/budget"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

var service = blackboard.ServiceKey{Workspace: "w", Service: "s"}

// idleSource is a Source whose targets are always stale.
type idleSource struct {
	targets []blackboard.Target
	mu      sync.Mutex
	probed  map[ports.HostID]int
}

func newSource(n int) *idleSource {
	s := &idleSource{probed: make(map[ports.HostID]int)}
	for i := range n {
		s.targets = append(s.targets, blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%02d", i))})
	}
	return s
}

func (s *idleSource) Stale(time.Time) []Candidate {
	var out []Candidate
	for _, t := range s.targets {
		out = append(out, Candidate{Service: service, Target: t})
	}
	return out
}

func (s *idleSource) Probed(_ blackboard.ServiceKey, id ports.HostID, _ bool, _ int, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probed[id]++
}

func (s *idleSource) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.probed {
		n += c
	}
	return n
}

// testHost has the controller and the budget shares of one host.
type testHost struct {
	controller *Controller
	shares     *budget.Shares
	metrics    *metrics.Set
	source     *idleSource
}

func newTestHost(st ports.Table, id ports.HostID, n int, healthPath string, prober Prober) *testHost {
	b := blackboard.New()
	b.Config.Store(&declare.Config{Workspaces: []declare.Workspace{{
		Name:        "w",
		ProbeBudget: 60 * time.Millisecond,
		Services:    []declare.Service{{Name: "s", Slots: 2, HealthPath: healthPath}},
	}}})
	d := &testHost{metrics: metrics.New(), source: newSource(n)}
	b.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{service: d.source.targets}})
	d.shares = budget.New(budget.Deps{Table: st, Self: id, Config: b.Config.Load, Metrics: d.metrics, Log: zap.NewNop()})
	d.controller = New(Deps{
		Board:   b,
		Source:  d.source,
		Budget:  d.shares,
		Prober:  prober,
		Metrics: d.metrics,
		Log:     zap.NewNop(),
	})
	return d
}

func (d *testHost) run(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { _ = d.shares.Run(ctx) })
	wg.Go(func() { _ = d.controller.Run(ctx) })
}

// sixMillisecondProbe is a Prober that takes as long as a typical probe.
func sixMillisecondProbe(context.Context, blackboard.Target, string) Result {
	time.Sleep(6 * time.Millisecond)
	return Result{OK: true, Load: 0}
}

// Two hosts both act as coordinator of the same 15 idle targets. Together they stay within
// the budget of 60 ms per second, and every target is probed.
func TestIdleTargetsAreProbedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New(store.Limits{})
		a := newTestHost(st, "a", 15, "/health", sixMillisecondProbe)
		b := newTestHost(st, "b", 15, "/health", sixMillisecondProbe)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		a.run(ctx, &wg)
		b.run(ctx, &wg)
		wg.Wait()
		probes := a.source.total() + b.source.total()
		share := a.controller.timeShare().(float64) + b.controller.timeShare().(float64)
		t.Logf("%d probes in a minute, share of the slot time %.4f", probes, share)
		assert.Check(t, probes > 200 && probes <= 600)
		assert.Check(t, share <= 0.060/30)
		for _, tg := range a.source.targets {
			assert.Check(t, a.source.probed[tg.ID]+b.source.probed[tg.ID] > 10)
		}
	})
}

func TestServiceWithoutHealthPathIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestHost(store.New(store.Limits{}), "a", 3, "", sixMillisecondProbe)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		d.run(ctx, &wg)
		wg.Wait()
		assert.Equal(t, d.source.total(), 0)
	})
}

// The table is down from the start. No host gets a share of the budget, so nothing is
// probed, and nothing blocks on the table.
func TestNoProbesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New(store.Limits{})
		st.SetFaults(store.Faults{Down: true, Delay: time.Second})
		d := newTestHost(st, "a", 3, "/health", sixMillisecondProbe)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		d.run(ctx, &wg)
		wg.Wait()
		assert.Equal(t, d.source.total(), 0)
	})
}

func TestHTTPProberReadsHealth(t *testing.T) {
	tg := target.New(target.Options{ID: "t1", HealthPath: "/health"})
	hs := httptest.NewServer(tg.Handler())
	defer hs.Close()
	at := blackboard.Target{Addr: strings.TrimPrefix(hs.URL, "http://")}
	probe := HTTPProber(dialTarget)
	ctx := context.Background()
	assert.Equal(t, probe(ctx, at, "/health"), Result{OK: true, Load: 0})
	n := 7
	tg.SetBehaviour(target.Behaviour{FalseLoad: &n})
	assert.Equal(t, probe(ctx, at, "/health"), Result{OK: true, Load: 7})
	tg.Drain(0)
	assert.Equal(t, probe(ctx, at, "/health"), Result{Load: 7, Leaving: true})
	tg.Crash()
	assert.Equal(t, probe(ctx, at, "/health"), Result{Load: -1})
}

// A target reads each request and closes the connection, after which net/http may retry a
// GET by itself. The target must see exactly one request per probe.
func TestProbeIsSentOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var requests atomic.Int64
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				requests.Add(1)
			}
			_ = c.Close()
		}
	}()
	probe := HTTPProber(dialTarget)
	at := blackboard.Target{Addr: l.Addr().String()}
	for range 20 {
		assert.Equal(t, probe(context.Background(), at, "/"), Result{Load: -1})
	}
	assert.NilError(t, l.Close())
	<-served
	assert.Equal(t, requests.Load(), int64(20))
}

func dialTarget(ctx context.Context, t blackboard.Target) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", t.Addr)
}

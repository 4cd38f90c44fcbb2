package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

// interval is a time interval of the simulation.
type interval struct {
	at, length time.Duration
}

func (s interval) covers(d time.Duration) bool { return d >= s.at && d < s.at+s.length }

// change is a new budget. It comes into force on each host within maxConfigLag.
type change struct {
	at     time.Duration
	budget time.Duration
}

// scenario holds the random parameters of one simulation.
type scenario struct {
	hosts         int
	seed          uint64
	changes       []change
	outages       []interval
	pauses        [][]interval
	replyLossRate float64
	storeDelay    time.Duration
	stallRate     float64
}

func drawIntervals(t *rapid.T, label string, maxCount int, maxLength time.Duration) []interval {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) interval {
		return interval{
			at:     time.Duration(rapid.Int64Range(0, int64(simulationTime)).Draw(t, "at")),
			length: time.Duration(rapid.Int64Range(0, int64(maxLength)).Draw(t, "length")),
		}
	}), 0, maxCount).Draw(t, label)
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), seed: rapid.Uint64().Draw(t, "seed")}
	budgets := rapid.SampledFrom([]time.Duration{0, 12, 60, 240, 500})
	s.changes = []change{{budget: rapid.SampledFrom([]time.Duration{12, 60, 240}).Draw(t, "first") * time.Millisecond}}
	for i := range rapid.IntRange(0, 2).Draw(t, "changes") {
		at := time.Duration(i+1) * simulationTime / 3
		s.changes = append(s.changes, change{at: at, budget: budgets.Draw(t, "budget") * time.Millisecond})
	}
	s.outages = drawIntervals(t, "outages", 2, 40*time.Second)
	for range s.hosts {
		s.pauses = append(s.pauses, drawIntervals(t, "pauses", 3, 40*time.Second))
	}
	s.replyLossRate = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "lose")
	s.storeDelay = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
	s.stallRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "stall")
	return s
}

// sentProbe is one probe that was sent.
type sentProbe struct {
	at   time.Duration
	cost time.Duration
}

// simulation is one run of a scenario.
type simulation struct {
	scenario scenario
	start    time.Time
	store    *store.Store
	// skipValid makes the hosts send probes without calling Valid.
	skipValid bool

	mu   sync.Mutex
	rng  *rand.Rand
	sent []sentProbe
}

func (p *simulation) now() time.Duration { return time.Since(p.start) }

func (p *simulation) randFloat() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// pause blocks a host for as long as it is paused.
func (p *simulation) pause(host int) {
	for _, s := range p.scenario.pauses[host] {
		if now := p.now(); s.covers(now) {
			time.Sleep(s.at + s.length - now)
		}
	}
}

// pausedTable is the table as seen by a host that may be paused before a request
// and before it handles the reply.
type pausedTable struct {
	ports.Table
	sim  *simulation
	host int
}

func (t pausedTable) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	t.sim.pause(t.host)
	rows, err := t.Table.Get(ctx, keys...)
	t.sim.pause(t.host)
	return rows, err
}

func (t pausedTable) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	t.sim.pause(t.host)
	res, err := t.Table.Commit(ctx, ops...)
	t.sim.pause(t.host)
	return res, err
}

func config(b time.Duration) *declare.Config {
	return &declare.Config{Workspaces: []declare.Workspace{{Name: "w", ProbeBudget: b}}}
}

// run runs the scenario with the real Shares and returns the probes that were sent.
func (p *simulation) run() []sentProbe {
	p.start = time.Now()
	p.rng = rand.New(rand.NewPCG(p.scenario.seed, 1))
	p.store = store.New(store.Limits{})
	ctx, cancel := context.WithTimeout(context.Background(), simulationTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.injectStoreFaults(ctx) })
	for h := range p.scenario.hosts {
		var cfg atomic.Pointer[declare.Config]
		cfg.Store(config(p.scenario.changes[0].budget))
		s := New(Deps{
			Table:       pausedTable{Table: p.store, sim: p, host: h},
			Self:        ports.HostID(fmt.Sprintf("h%d", h)),
			Incarnation: uint64(h),
			Config:      cfg.Load,
			Metrics:     metrics.New(),
			Log:         zap.NewNop(),
		})
		wg.Go(func() { _ = s.Run(ctx) })
		wg.Go(func() { p.changeBudget(ctx, &cfg) })
		wg.Go(func() { p.probe(ctx, h, s) })
	}
	wg.Wait()
	return p.sent
}

func (p *simulation) injectStoreFaults(ctx context.Context) {
	for ctx.Err() == nil {
		f := store.Faults{
			Delay:     p.scenario.storeDelay,
			LoseReply: func() bool { return p.randFloat() < p.scenario.replyLossRate },
		}
		for _, o := range p.scenario.outages {
			f.Down = f.Down || o.covers(p.now())
		}
		p.store.SetFaults(f)
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *simulation) changeBudget(ctx context.Context, cfg *atomic.Pointer[declare.Config]) {
	for _, c := range p.scenario.changes[1:] {
		lag := time.Duration(p.randFloat() * float64(maxConfigLag))
		time.Sleep(c.at + lag - p.now())
		cfg.Store(config(c.budget))
	}
}

// probe runs a host that always considers itself the coordinator.
func (p *simulation) probe(ctx context.Context, host int, s *Shares) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(10+p.randFloat()*40) * time.Millisecond)
		p.pause(host)
		spend, ok := s.Begin("w")
		if !ok {
			continue
		}
		p.pause(host)
		time.Sleep(time.Duration(p.randFloat() * float64(s.timing.Timeout)))
		if p.randFloat() < p.scenario.stallRate {
			time.Sleep(time.Duration(p.randFloat() * float64(30*time.Second)))
		}
		if !p.skipValid && !spend.Valid() {
			spend.Done(0)
			continue
		}
		cost := time.Duration(2+p.randFloat()*18) * time.Millisecond
		p.mu.Lock()
		p.sent = append(p.sent, sentProbe{at: p.now(), cost: cost})
		p.mu.Unlock()
		time.Sleep(cost)
		spend.Done(cost)
	}
}

// checkBudget returns an error for the first window in which more was spent than
// allowed. While a change comes into force, both the old and the new budget may be
// spent.
func (s scenario) checkBudget(spent []sentProbe) error {
	for i, first := range spent {
		length, allowed := s.allowed(first.at)
		var sum time.Duration
		for _, e := range spent[i:] {
			if e.at-first.at >= length {
				break
			}
			sum += e.cost
		}
		if sum > allowed {
			return errors.Newf("%s spent in %s from %s, %s allowed", sum, length, first.at, allowed)
		}
	}
	return nil
}

// longestWindow is the window of the smallest budget in the scenarios.
const longestWindow = 5 * time.Second

// allowed returns the shortest window of the plans that may be in force on some
// host between this time and the longest window later, and the sum of what they
// allow in it.
func (s scenario) allowed(at time.Duration) (length, total time.Duration) {
	length = time.Hour
	for i, c := range s.changes {
		plan := NewPlan(c.budget, DefaultTiming().Timeout)
		end := simulationTime + longestWindow
		if i+1 < len(s.changes) {
			end = s.changes[i+1].at + maxConfigLag + DefaultTiming().Timeout
		}
		if plan.Shares > 0 && at < end && at+longestWindow >= c.at {
			length = min(length, plan.Window)
			total += plan.PerShare * time.Duration(plan.Shares)
		}
	}
	return length, total
}

// Hosts that all consider themselves the coordinator probe as much as they are
// allowed, while they are paused at any point, the table is unavailable, slow or
// loses replies, and the budget changes. No window exceeds the budget. Hosts that
// skip the Valid check right before sending do exceed it, which shows that the
// check of the windows detects a violation.
func TestProbesStayWithinTheBudget(t *testing.T) {
	runs, probes, caught := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var checked, unchecked []sentProbe
		synctest.Test(t, func(*testing.T) { checked = (&simulation{scenario: s}).run() })
		synctest.Test(t, func(*testing.T) { unchecked = (&simulation{scenario: s, skipValid: true}).run() })
		runs++
		probes += len(checked)
		if s.checkBudget(unchecked) != nil {
			caught++
		}
		if err := s.checkBudget(checked); err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf(
		"%d runs of %s, %d probes, none over the budget; violation without Valid detected in %d runs",
		runs, simulationTime, probes, caught)
	assert.Check(t, probes > 1000)
	assert.Check(t, caught > 0)
}

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

// span is a stretch of the play.
type span struct {
	at, length time.Duration
}

func (s span) covers(d time.Duration) bool { return d >= s.at && d < s.at+s.length }

// change is a new budget; it comes into force at each host within playLag.
type change struct {
	at     time.Duration
	budget time.Duration
}

// script is all that is drawn for one play.
type script struct {
	hosts   int
	seed    uint64
	changes []change
	outages []span
	pauses  [][]span
	lose    float64
	delay   time.Duration
	stall   float64
}

func drawSpans(t *rapid.T, label string, most int, longest time.Duration) []span {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) span {
		return span{
			at:     time.Duration(rapid.Int64Range(0, int64(playTime)).Draw(t, "at")),
			length: time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "length")),
		}
	}), 0, most).Draw(t, label)
}

func drawScript(t *rapid.T) script {
	s := script{hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), seed: rapid.Uint64().Draw(t, "seed")}
	budgets := rapid.SampledFrom([]time.Duration{0, 12, 60, 240, 500})
	s.changes = []change{{budget: rapid.SampledFrom([]time.Duration{12, 60, 240}).Draw(t, "first") * time.Millisecond}}
	for i := range rapid.IntRange(0, 2).Draw(t, "changes") {
		at := time.Duration(i+1) * playTime / 3
		s.changes = append(s.changes, change{at: at, budget: budgets.Draw(t, "budget") * time.Millisecond})
	}
	s.outages = drawSpans(t, "outages", 2, 40*time.Second)
	for range s.hosts {
		s.pauses = append(s.pauses, drawSpans(t, "pauses", 3, 40*time.Second))
	}
	s.lose = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "lose")
	s.delay = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
	s.stall = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "stall")
	return s
}

// spentAt is one probe that went out.
type spentAt struct {
	at   time.Duration
	cost time.Duration
}

// play is one run of a script.
type play struct {
	script script
	start  time.Time
	store  *store.Store
	// careless probers do not ask Live before they send.
	careless bool

	mu    sync.Mutex
	rng   *rand.Rand
	spent []spentAt
}

func (p *play) now() time.Duration { return time.Since(p.start) }

func (p *play) float() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// pause holds a host for as long as it is paused.
func (p *play) pause(host int) {
	for _, s := range p.script.pauses[host] {
		if now := p.now(); s.covers(now) {
			time.Sleep(s.at + s.length - now)
		}
	}
}

// pausedTable is the table as a host sees it that may be paused before a request
// and before it takes in the answer.
type pausedTable struct {
	ports.Table
	play *play
	host int
}

func (t pausedTable) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	t.play.pause(t.host)
	rows, err := t.Table.Get(ctx, keys...)
	t.play.pause(t.host)
	return rows, err
}

func (t pausedTable) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	t.play.pause(t.host)
	res, err := t.Table.Commit(ctx, ops...)
	t.play.pause(t.host)
	return res, err
}

func config(b time.Duration) *declare.Config {
	return &declare.Config{Workspaces: []declare.Workspace{{Name: "w", ProbeBudget: b}}}
}

// run plays the script over the real Shares and returns the probes that went
// out.
func (p *play) run() []spentAt {
	p.start = time.Now()
	p.rng = rand.New(rand.NewPCG(p.script.seed, 1))
	p.store = store.New(store.Limits{})
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.breakStore(ctx) })
	for h := range p.script.hosts {
		var cfg atomic.Pointer[declare.Config]
		cfg.Store(config(p.script.changes[0].budget))
		s := New(Deps{
			Table:       pausedTable{Table: p.store, play: p, host: h},
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
	return p.spent
}

func (p *play) breakStore(ctx context.Context) {
	for ctx.Err() == nil {
		f := store.Faults{Delay: p.script.delay, LoseReply: func() bool { return p.float() < p.script.lose }}
		for _, o := range p.script.outages {
			f.Down = f.Down || o.covers(p.now())
		}
		p.store.SetFaults(f)
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *play) changeBudget(ctx context.Context, cfg *atomic.Pointer[declare.Config]) {
	for _, c := range p.script.changes[1:] {
		lag := time.Duration(p.float() * float64(playLag))
		time.Sleep(c.at + lag - p.now())
		cfg.Store(config(c.budget))
	}
}

// probe is a host that believes to be coordinator all the time.
func (p *play) probe(ctx context.Context, host int, s *Shares) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(10+p.float()*40) * time.Millisecond)
		p.pause(host)
		spend, ok := s.Begin("w")
		if !ok {
			continue
		}
		p.pause(host)
		time.Sleep(time.Duration(p.float() * float64(s.limits.Timeout)))
		if p.float() < p.script.stall {
			time.Sleep(time.Duration(p.float() * float64(30*time.Second)))
		}
		if !p.careless && !spend.Valid() {
			spend.Done(0)
			continue
		}
		cost := time.Duration(2+p.float()*18) * time.Millisecond
		p.mu.Lock()
		p.spent = append(p.spent, spentAt{at: p.now(), cost: cost})
		p.mu.Unlock()
		time.Sleep(cost)
		spend.Done(cost)
	}
}

// judge returns the first window in which more was spent than allowed. While a
// change comes into force the old and the new budget may both be spent.
func (s script) judge(spent []spentAt) error {
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

// longestWindow is that of the smallest budget in the scripts.
const longestWindow = 5 * time.Second

// allowed returns the shortest window of the plans that may be in force
// somewhere between this moment and the longest window later, and the sum of
// what they allow in it.
func (s script) allowed(at time.Duration) (length, total time.Duration) {
	length = time.Hour
	for i, c := range s.changes {
		plan := NewPlan(c.budget, DefaultLimits().Timeout)
		end := playTime + longestWindow
		if i+1 < len(s.changes) {
			end = s.changes[i+1].at + playLag + DefaultLimits().Timeout
		}
		if plan.Shares > 0 && at < end && at+longestWindow >= c.at {
			length = min(length, plan.Window)
			total += plan.PerShare * time.Duration(plan.Shares)
		}
	}
	return length, total
}

// Hosts that all believe to be coordinator probe as much as they are let, while
// they are paused at any point, the table is out, slow or loses answers, and the
// budget changes. In no window is more spent than allowed. Probers that rely on
// what they were granted, and do not ask again right before they send, are
// caught by the same judgement.
func TestProbesStayWithinTheBudget(t *testing.T) {
	plays, probes, caught := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var careful, careless []spentAt
		synctest.Test(t, func(*testing.T) { careful = (&play{script: s}).run() })
		synctest.Test(t, func(*testing.T) { careless = (&play{script: s, careless: true}).run() })
		plays++
		probes += len(careful)
		if s.judge(careless) != nil {
			caught++
		}
		if err := s.judge(careful); err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("%d plays of %s, %d probes, none over the budget; careless probers caught in %d plays", plays, playTime, probes, caught)
	assert.Check(t, probes > 1000)
	assert.Check(t, caught > 0)
}

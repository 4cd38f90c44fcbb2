package budget

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	simulationTime = 2 * time.Minute
	maxConfigLag   = 3 * time.Second
)

func TestPlan(t *testing.T) {
	for _, c := range []struct{ budget, window, perShare, shares time.Duration }{
		{0, 0, 0, 0},
		{12, 5000, 60, 1},
		{60, 1000, 60, 1},
		{130, 1000, 65, 2},
		{2400, 1000, 600, 4},
	} {
		p := NewPlan(c.budget*time.Millisecond, 20*time.Millisecond)
		assert.Equal(t, p, Plan{Shares: int(c.shares), Window: c.window * time.Millisecond, PerShare: c.perShare * time.Millisecond})
	}
}

// newRequester returns a host over the store, with a budget of 60 ms per second.
func newRequester(s *store.Store, id ports.HostID) *Shares {
	return New(Deps{
		Table:   s,
		Self:    id,
		Config:  func() *declare.Config { return config(60 * time.Millisecond) },
		Metrics: metrics.New(),
		Log:     zap.NewNop(),
	})
}

// The table becomes unavailable while a host holds a share. The host continues to
// probe until its lease ends and then stops. When the table is back, it acquires a
// share again.
func TestStoreOutageEndsProbing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New(store.Limits{})
		s := newRequester(st, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
		probeFor := func(length time.Duration) int {
			n := 0
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if sp, ok := s.Begin("w"); ok {
					n++
					sp.Done(6 * time.Millisecond)
				}
			}
			return n
		}
		assert.Check(t, probeFor(5*time.Second) > 10)
		st.SetFaults(store.Faults{Down: true})
		assert.Check(t, probeFor(5*time.Second) > 10)
		probeFor(10 * time.Second)
		assert.Equal(t, probeFor(30*time.Second), 0)
		st.SetFaults(store.Faults{})
		assert.Check(t, probeFor(20*time.Second) > 10)
		cancel()
		<-done
	})
}

// A host that stops releases its share, and the next host acquires it at its next
// poll. The share of a host that crashed is acquired after the lease and the
// margin.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, crash := range []bool{false, true} {
			st := store.New(store.Limits{})
			a, b := newRequester(st, "a"), newRequester(st, "b")
			ctx := context.Background()
			a.Begin("w")
			a.step(ctx, "w")
			b.Begin("w")
			b.step(ctx, "w")
			assert.Check(t, a.workspaces["w"].lease != nil && b.workspaces["w"].lease == nil)
			began := time.Now()
			if !crash {
				a.releaseAll(ctx)
			}
			for b.workspaces["w"].lease == nil {
				time.Sleep(time.Second)
				b.Begin("w")
				b.step(ctx, "w")
			}
			want := time.Second
			if l := b.timing; crash {
				want = l.Lease + l.Margin
			}
			assert.Equal(t, time.Since(began), want)
		}
	})
}

// The process is paused for longer than the lease after a probe was granted.
// Nothing notifies it of that, so the check right before the probe has to detect
// it.
func TestPausedHolderFindsItsShareLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRequester(store.New(store.Limits{}), "a")
		s.Begin("w")
		s.step(context.Background(), "w")
		sp, ok := s.Begin("w")
		assert.Check(t, ok)
		assert.Check(t, sp.Valid())
		time.Sleep(s.timing.Timeout)
		assert.Check(t, !sp.Valid())
		time.Sleep(s.timing.Lease - 2*s.timing.Timeout)
		_, ok = s.Begin("w")
		assert.Check(t, ok)
		time.Sleep(time.Nanosecond)
		_, ok = s.Begin("w")
		assert.Check(t, !ok)
	})
}

// A host acquires the share, sends no probe, and releases the share. What the host
// before it had spent is still reported to the next one.
func TestSpentIsHandedOnByAHostThatSpentNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New(store.Limits{})
		ctx := context.Background()
		first := newRequester(st, "a")
		first.Begin("w")
		first.step(ctx, "w")
		sp, _ := first.Begin("w")
		sp.Done(15 * time.Millisecond)
		first.releaseAll(ctx)
		second := newRequester(st, "b")
		second.workspace("w").lastRequested = time.Now()
		second.step(ctx, "w")
		second.releaseAll(ctx)
		_, v, err := second.read(ctx, "w", 0)
		assert.NilError(t, err)
		assert.Check(t, v.Released)
		assert.Equal(t, v.Spent, 15*time.Millisecond)
	})
}

// slowTable delays the reply to each commit that took effect.
type slowTable struct {
	ports.Table
	wait time.Duration
}

func (t slowTable) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	res, err := t.Table.Commit(ctx, ops...)
	time.Sleep(t.wait)
	return res, err
}

// The process is paused between the write of its lease and the reply, for long
// enough that another host may take the share. The lease counts from before the
// write, so the share may not be used when the reply arrives.
func TestLeaseCountsFromBeforeItWasAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRequester(store.New(store.Limits{}), "a")
		table := s.table
		s.table = slowTable{Table: table, wait: s.timing.Lease}
		s.Begin("w")
		s.step(context.Background(), "w")
		_, ok := s.Begin("w")
		assert.Check(t, !ok, "probe granted under an expired new lease")

		s = newRequester(store.New(store.Limits{}), "a")
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(6 * time.Second)
		s.table = slowTable{Table: s.table, wait: s.timing.Lease}
		s.Begin("w")
		s.step(context.Background(), "w")
		_, ok = s.Begin("w")
		assert.Check(t, !ok, "probe granted under an expired renewed lease")

		st := store.New(store.Limits{})
		s = newRequester(st, "a")
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(6 * time.Second)
		st.SetFaults(store.Faults{LoseReply: func() bool { return true }})
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(3 * time.Second)
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(s.timing.Lease - 3*time.Second - s.timing.Timeout)
		_, ok = s.Begin("w")
		assert.Check(t, ok, "probe refused within the lease of a renewal that was read back")
		time.Sleep(time.Nanosecond)
		_, ok = s.Begin("w")
		assert.Check(t, !ok, "probe granted after the lease of a renewal that was read back")
	})
}

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
	playTime = 2 * time.Minute
	playLag  = 3 * time.Second
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

// holder makes a host over the store that has asked for a probe.
func holder(s *store.Store, id ports.HostID) *Shares {
	return New(Deps{
		Table:   s,
		Self:    id,
		Config:  func() *declare.Config { return config(60 * time.Millisecond) },
		Metrics: metrics.New(),
		Log:     zap.NewNop(),
	})
}

// The table goes out while a host holds the share. The host probes on until its
// lease ends and then stops; when the table is back it has a share again.
func TestStoreOutageEndsProbing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New(store.Limits{})
		s := holder(st, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
		probed := func(length time.Duration) int {
			n := 0
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if sp, ok := s.Begin("w"); ok {
					n++
					sp.Done(6 * time.Millisecond)
				}
			}
			return n
		}
		assert.Check(t, probed(5*time.Second) > 10)
		st.SetFaults(store.Faults{Down: true})
		assert.Check(t, probed(5*time.Second) > 10)
		probed(10 * time.Second)
		assert.Equal(t, probed(30*time.Second), 0)
		st.SetFaults(store.Faults{})
		assert.Check(t, probed(20*time.Second) > 10)
		cancel()
		<-done
	})
}

// A host that stops gives its share back, and the next one has it at its next
// look; from a host that crashed it is had after the lease and the margin.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, crash := range []bool{false, true} {
			st := store.New(store.Limits{})
			a, b := holder(st, "a"), holder(st, "b")
			ctx := context.Background()
			a.Begin("w")
			a.step(ctx, "w")
			b.Begin("w")
			b.step(ctx, "w")
			assert.Check(t, a.workspaces["w"].held != nil && b.workspaces["w"].held == nil)
			began := time.Now()
			if !crash {
				a.releaseAll(ctx)
			}
			for b.workspaces["w"].held == nil {
				time.Sleep(time.Second)
				b.Begin("w")
				b.step(ctx, "w")
			}
			want := time.Second
			if l := b.limits; crash {
				want = l.Lease + l.Margin
			}
			assert.Equal(t, time.Since(began), want)
		}
	})
}

// The share was granted, and then the process was paused for longer than the
// lease. Nothing has told it so when it asks for its next probe: the check right
// before the probe has to find out.
func TestPausedHolderFindsItsShareLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := holder(store.New(store.Limits{}), "a")
		s.Begin("w")
		s.step(context.Background(), "w")
		sp, ok := s.Begin("w")
		assert.Check(t, ok)
		assert.Check(t, sp.Valid())
		time.Sleep(s.limits.Timeout)
		assert.Check(t, !sp.Valid())
		time.Sleep(s.limits.Lease - 2*s.limits.Timeout)
		_, ok = s.Begin("w")
		assert.Check(t, ok)
		time.Sleep(time.Nanosecond)
		_, ok = s.Begin("w")
		assert.Check(t, !ok)
	})
}

// A host takes the share over, begins no probe, and gives it back. What the host
// before it had spent is still told to the one after it.
func TestSpentIsHandedOnByAHostThatSpentNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := store.New(store.Limits{})
		ctx := context.Background()
		first := holder(st, "a")
		first.Begin("w")
		first.step(ctx, "w")
		sp, _ := first.Begin("w")
		sp.Done(15 * time.Millisecond)
		first.releaseAll(ctx)
		second := holder(st, "b")
		second.workspace("w").wanted = time.Now()
		second.step(ctx, "w")
		second.releaseAll(ctx)
		_, v, err := second.read(ctx, "w", 0)
		assert.NilError(t, err)
		assert.Check(t, v.Released)
		assert.Equal(t, v.Spent, 15*time.Millisecond)
	})
}

// slowTable keeps back the answer to each commit that took effect.
type slowTable struct {
	ports.Table
	wait time.Duration
}

func (t slowTable) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	res, err := t.Table.Commit(ctx, ops...)
	time.Sleep(t.wait)
	return res, err
}

// The process is paused between the write of its lease and the answer, long
// enough for another host to take the share. The lease counts from before the
// write, so the answer brings a share that may not be used any more.
func TestLeaseCountsFromBeforeItWasAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := holder(store.New(store.Limits{}), "a")
		fast := s.table
		s.table = slowTable{Table: fast, wait: s.limits.Lease}
		s.Begin("w")
		s.step(context.Background(), "w")
		_, ok := s.Begin("w")
		assert.Check(t, !ok, "a lease that was taken")

		s = holder(store.New(store.Limits{}), "a")
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(6 * time.Second)
		s.table = slowTable{Table: s.table, wait: s.limits.Lease}
		s.Begin("w")
		s.step(context.Background(), "w")
		_, ok = s.Begin("w")
		assert.Check(t, !ok, "a lease that was renewed")

		st := store.New(store.Limits{})
		s = holder(st, "a")
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(6 * time.Second)
		st.SetFaults(store.Faults{LoseReply: func() bool { return true }})
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(3 * time.Second)
		s.Begin("w")
		s.step(context.Background(), "w")
		time.Sleep(s.limits.Lease - 3*time.Second - s.limits.Timeout)
		_, ok = s.Begin("w")
		assert.Check(t, ok, "a renewal that was read back")
		time.Sleep(time.Nanosecond)
		_, ok = s.Begin("w")
		assert.Check(t, !ok, "a renewal that was read back")
	})
}

package config_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/ports"
)

// propagationBound is the time within which an accepted change has to be in force.
const propagationBound = 3 * time.Second

// onFleet runs a test in virtual time on hosts that have confirmed their configuration.
func onFleet(t *testing.T, hosts int, test func(t *testing.T, f *confignet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := confignet.NewFleet(hosts)
		defer func() {
			f.Close()
			advanceTime(propagationBound) // let messages in flight end within the bubble
		}()
		advanceTime(100 * time.Millisecond)
		test(t, f)
	})
}

func advanceTime(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// change applies a change through a host and requires the result.
func change(t *testing.T, h *confignet.Host, id string, base uint64, value int, want config.Result) config.Outcome {
	t.Helper()
	out := h.Controller.Apply(context.Background(), confignet.Change(id, "ana", "w", base, value))
	assert.Equal(t, out.Result, want, "%+v", out)
	return out
}

func assertSequences(t *testing.T, f *confignet.Fleet, want uint64) {
	t.Helper()
	for _, h := range f.Hosts() {
		assert.Check(t, h.Sequence() == want, "host %s is at %d, want %d", h.ID, h.Sequence(), want)
	}
}

func assertReady(t *testing.T, want bool, hosts ...*confignet.Host) {
	t.Helper()
	for _, h := range hosts {
		assert.Check(t, h.Ready() == want, "host %s ready: %v", h.ID, h.Ready())
		assert.Check(t, h.Controller.Fresh() == want, "host %s", h.ID)
	}
}

func setStoreDown(f *confignet.Fleet, down bool) { f.Store.SetFaults(store.Faults{Down: down}) }

func TestChangeIsInForceOnAllHostsAndInTheHistory(t *testing.T) {
	onFleet(t, 5, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		c := h[1].Controller
		ctx := context.Background()
		plan, err := c.Plan(ctx, confignet.Workspace("w", 7), confignet.Template())
		assert.NilError(t, err)
		assert.Check(t, plan.Base == 0 && len(plan.Differences) > 5)

		change(t, h[0], "c1", 0, 7, config.ResultApplied)
		advanceTime(5 * time.Millisecond) // pushed, long before the next poll
		assertSequences(t, f, 1)
		change(t, h[1], "c2", 1, 8, config.ResultApplied)
		change(t, h[1], "c3", 2, 8, config.ResultUnchanged)
		st := c.WaitInForce(ctx, 2)
		assert.Check(t, st.InForce && len(st.Hosts) == 5, "%+v", st)
		assertSequences(t, f, 2)

		plan, err = c.Plan(ctx, confignet.Workspace("w", 9), nil)
		assert.NilError(t, err)
		assert.Equal(t, plan.Differences[0].String(), "~ maxInFlight: 8 -> 9")
		assert.Check(t, len(plan.Differences) == 1 && plan.Base == 2)

		out := c.Rollback(ctx, config.RollbackRequest{Request: config.Request{ID: "c4", Operator: "eva", Base: 2}, Workspace: "w", To: 1})
		assert.Check(t, out.Result == config.ResultApplied && out.Change.Sequence == 3 && out.Change.Workspace.MaxInFlight == 7)
		for _, name := range []string{"w", ""} {
			past, err := c.History(ctx, name, 2)
			assert.NilError(t, err)
			assert.Check(t, len(past) == 2 && past[0].Operator == "eva" && past[0].RollbackTo == 1 && past[1].ID == "c2", "%+v", past)
		}
	})
}

// Two operators change the same workspace from the same version at the same time, through
// different hosts. Both transactions compare the version, so one operator gets the
// other's change as a conflict, and nothing of the losing change takes effect.
func TestSecondOperatorSeesTheFirstOnesChange(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		outs := make(chan config.Outcome, 2)
		for i, who := range []string{"ana", "eva"} {
			go func() {
				outs <- h[i].Controller.Apply(context.Background(), confignet.Change("c-"+who, who, "w", 0, 10+i))
			}()
		}
		first, second := <-outs, <-outs
		if first.Result != config.ResultApplied {
			first, second = second, first
		}
		assert.Equal(t, first.Result, config.ResultApplied)
		assert.Equal(t, second.Result, config.ResultConflict)
		assert.Equal(t, second.Conflicting.Operator, first.Change.Operator)
		advanceTime(time.Second)
		assertSequences(t, f, 1)
	})
}

// A commit takes effect but its reply is lost. The host finds the change by its ID and
// reports it as applied; it is not applied a second time.
func TestLostAnswerIsResolvedByTheChangeID(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		var writes atomic.Int64
		f.Store.SetFaults(store.Faults{LoseReply: func() bool { return writes.Add(1) == 1 }})
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		change(t, f.Hosts()[1], "c1", 0, 7, config.ResultApplied)
		advanceTime(time.Second)
		assertSequences(t, f, 1)
	})
}

// The reply to a commit is lost and the store goes down before the host can look for the
// change. The operator is told that the outcome is uncertain, not that it failed. The
// same request after the outage finds the change, which the other hosts have applied
// since.
func TestUncertainChangeIsFoundAfterTheOutage(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		f.Store.SetFaults(store.Faults{LoseReply: func() bool { setStoreDownLater(f); return true }})
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultUncertain)
		assertSequences(t, f, 0)
		change(t, f.Hosts()[0], "c2", 0, 8, config.ResultUnavailable)
		setStoreDown(f, false)
		advanceTime(propagationBound)
		assertSequences(t, f, 1)
		out := change(t, f.Hosts()[2], "c1", 0, 7, config.ResultApplied)
		assert.Equal(t, out.Change.Sequence, uint64(1))
		out = change(t, f.Hosts()[2], "c1", 1, 9, config.ResultInvalid)
		assert.ErrorContains(t, out.Problems, "change ID was used for another change")
	})
}

func setStoreDownLater(f *confignet.Fleet) {
	go setStoreDown(f, true)
	time.Sleep(time.Nanosecond)
}

// The store fails right after the commit, and the pushes to some hosts are lost. Those
// hosts query their peers and have the change within the bound. All hosts stay ready.
func TestChangeSpreadsWithoutTheStore(t *testing.T) {
	onFleet(t, 15, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		for _, to := range h[7:] {
			f.Net.Block(h[0].ID, to.ID)
		}
		change(t, h[0], "c1", 0, 7, config.ResultApplied)
		setStoreDown(f, true)
		advanceTime(propagationBound)
		assertSequences(t, f, 1)
		advanceTime(time.Minute)
		assertReady(t, true, h...)
	})
}

// The committing host fails right after the commit, before any push arrives. The others
// learn of the change from the head row at their next poll.
func TestChangeOfADeadHostIsPolled(t *testing.T) {
	onFleet(t, 15, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		f.CutPeers(h[0])
		change(t, h[0], "c1", 0, 7, config.ResultApplied)
		f.Stop(h[0])
		advanceTime(propagationBound)
		assertSequences(t, f, 1)
	})
}

// A pushed change arrives before the one that it follows. If it were applied, the missing
// change of another workspace would go unnoticed. The host fetches both instead.
func TestGapIsFilledFromThePeer(t *testing.T) {
	onFleet(t, 2, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		h[1].CutPlatform()
		f.CutPeers(h[1])
		change(t, h[0], "c1", 0, 7, config.ResultApplied)
		second := change(t, h[0], "c2", 1, 8, config.ResultApplied)
		advanceTime(10 * time.Millisecond) // the pushes are lost
		f.Net.UnblockAll()
		h[0].Controller.PushTo(h[1].ID, *second.Change)
		advanceTime(10 * time.Millisecond)
		assertSequences(t, f, 2)
		assert.Equal(t, h[1].Metrics.Map("config_refused").Get("sequence_gap").String(), "1")
	})
}

// A host that starts while the store is down takes the newest configuration of a
// confirmed peer and becomes ready. One that reaches no other host never does.
func TestFreshHostInAnOutage(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		advanceTime(time.Second)
		setStoreDown(f, true)
		newHost := f.Start()
		advanceTime(time.Second)
		assert.Equal(t, newHost.Sequence(), uint64(1))
		assertReady(t, true, newHost)
		isolated := f.Start()
		f.CutPeers(isolated)
		advanceTime(time.Minute)
		assertReady(t, false, isolated)
	})
}

// All hosts are replaced at once while the store is down. None has a configuration, so
// none may confirm another; they become ready only once the store is back.
func TestReplacedFleetWaitsForTheStore(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		setStoreDown(f, true)
		for _, h := range f.Hosts() {
			f.Stop(h)
		}
		newHosts := []*confignet.Host{f.Start(), f.Start(), f.Start()}
		advanceTime(time.Minute)
		assertReady(t, false, newHosts...)
		setStoreDown(f, false)
		advanceTime(propagationBound)
		assertReady(t, true, newHosts...)
		assertSequences(t, f, 1)
	})
}

// A host reaches no peer, and its reads of the table hang, as on a network that drops
// packets. Once the table answers again, the host has the change within about one poll
// interval: a read that still hangs doesn't delay the next.
func TestHangingReadDoesNotHideTheEndOfAnOutage(t *testing.T) {
	for phase := range 8 {
		onFleet(t, 2, func(t *testing.T, f *confignet.Fleet) {
			h := f.Hosts()[1]
			f.Isolate(h)
			change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
			advanceTime(10*time.Second + time.Duration(phase)*500*time.Millisecond)
			assert.Equal(t, h.Sequence(), uint64(0))
			h.RestorePlatform()
			advanceTime(1200 * time.Millisecond)
			assertSequences(t, f, 1)
			assertReady(t, true, h)
		})
	}
}

// After many changes a starting host reads the snapshot instead of the log. A snapshot
// with one altered byte is rejected and the workspace rows are read instead.
func TestStartFromSnapshotOrTable(t *testing.T) {
	onFleet(t, 1, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()[0]
		for i := range uint64(60) {
			change(t, h, fmt.Sprint("c", i), i, int(i)+1, config.ResultApplied)
		}
		advanceTime(10 * time.Second)
		start := func() *confignet.Host {
			n := f.Start()
			f.CutPeers(n)
			advanceTime(100 * time.Millisecond)
			assert.Equal(t, n.Sequence(), uint64(60))
			return n
		}
		assert.Equal(t, start().Reads(), uint64(2), "head row and snapshot")
		ctx := context.Background()
		raw, err := f.Store.Objects().Get(ctx, config.SnapshotName)
		assert.NilError(t, err)
		raw[len(raw)/2]++
		assert.NilError(t, f.Store.Objects().Put(ctx, config.SnapshotName, raw))
		n := start()
		assert.Equal(t, n.Metrics.Map("config_refused").Get("damaged_snapshot").String(), "1")
		assert.DeepEqual(t, n.Board.Config.Load(), h.Board.Config.Load())
		advanceTime(10 * time.Second)
		assert.Equal(t, start().Reads(), uint64(2), "the snapshot was rewritten")
	})
}

// A starting host finds a damaged snapshot, reads the workspace rows and requests a new
// snapshot. If the writer ran before these rows are active, it would store the empty
// configuration, which is of no use to hosts that start later and would stay until the
// next change.
func TestSnapshotIsOfWhatWasRead(t *testing.T) {
	onFleet(t, 1, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()[0]
		for i := range uint64(40) {
			change(t, h, fmt.Sprint("c", i), i, int(i)+1, config.ResultApplied)
		}
		advanceTime(10 * time.Second)
		ctx := context.Background()
		assert.NilError(t, f.Store.Objects().Put(ctx, config.SnapshotName, []byte("damaged")))
		f.Configure = func(c *config.Controller) {
			c.BeforeInstall(func() { time.Sleep(100 * time.Millisecond) })
		}
		f.CutPeers(f.Start())
		advanceTime(10 * time.Second)
		f.Configure = nil
		n := f.Start()
		f.CutPeers(n)
		advanceTime(100 * time.Millisecond)
		assert.Equal(t, n.Sequence(), uint64(40))
		assert.Equal(t, n.Reads(), uint64(2), "head row and snapshot")
	})
}

// The platform restores its table from an old backup. Hosts keep their configuration, and
// a change that would reuse a sequence number is rejected.
func TestTableThatLostChangesIsNotFollowed(t *testing.T) {
	onFleet(t, 2, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		change(t, h[0], "c1", 0, 7, config.ResultApplied)
		advanceTime(time.Second)
		rows, err := f.Store.Get(context.Background(), "config/head")
		assert.NilError(t, err)
		_, err = f.Store.Commit(context.Background(), ports.Op{Kind: ports.OpDelete, Key: rows[0].Key})
		assert.NilError(t, err)
		out := change(t, h[1], "c2", 0, 8, config.ResultUnavailable)
		assert.Check(t, strings.Contains(out.Detail, "behind"), out.Detail)
		advanceTime(time.Minute)
		assertSequences(t, f, 1)
	})
}

func TestRefusedDeclarations(t *testing.T) {
	onFleet(t, 2, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()
		apply := func(ws config.File, tpl *config.File, want string) {
			t.Helper()
			out := h[1].Controller.Apply(context.Background(), config.ApplyRequest{
				Request: config.Request{ID: "c9", Operator: "eva"}, Workspace: ws, Template: tpl,
			})
			assert.Equal(t, out.Result, config.ResultInvalid)
			assert.ErrorContains(t, out.Problems, want)
		}
		apply(confignet.Workspace("v", 1), nil, "template bench version 1 has not been applied yet")
		first := confignet.Change("c1", "ana", "w", 0, 1)
		first.Workspace = confignet.Workspace("w", 1, "lots.example")
		assert.Equal(t, h[0].Controller.Apply(context.Background(), first).Result, config.ResultApplied)
		apply(confignet.Workspace("v", 1, "lots.example"), nil, "host name lots.example belongs to workspace w")
		other := confignet.Template()
		other.Text += " // other\n"
		apply(confignet.Workspace("v", 1), other, "was applied with another text")
		apply(confignet.Workspace("v", 0), nil, "v.jsonc:1: parameters.maxInFlight: value is below")
	})
}

package config_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// TestMain fixes the scripts that the randomised tests run, unless the command
// line asks for others.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is one line of a script. Host numbers are taken modulo the hosts there.
type step struct {
	Kind  string
	Host  int
	Other int
	// Who applies, to what workspace and with what value.
	Who       string
	Workspace string
	Value     int
	For       time.Duration
}

const fleetSize = 5

var stepKinds = []string{
	"apply", "apply", "apply", "race", "rollback", "store-down", "store-up", "lose-replies", "late-commit",
	"isolate", "cut-platform", "cut-link", "heal", "pause", "replace", "slow", "wait", "wait",
}

func drawScript(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:      rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Host:      rapid.IntRange(0, fleetSize-1).Draw(t, "host"),
			Other:     rapid.IntRange(0, fleetSize-1).Draw(t, "other"),
			Who:       rapid.SampledFrom([]string{"ana", "eva"}).Draw(t, "who"),
			Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"),
			Value:     rapid.IntRange(1, 1000).Draw(t, "value"),
			For:       time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 10, 40).Draw(t, "script")
}

// run is one script under way.
type run struct {
	fleet *confignet.Fleet
	watch *watch
	ops   sync.WaitGroup
	nth   atomic.Int64

	down atomic.Bool

	mu       sync.Mutex
	seen     map[string]uint64 // the version each operator has seen, by name/workspace
	requests []*request
}

// play runs a script in virtual time and returns what went wrong.
func play(t *testing.T, script []step, configure func(*config.Controller)) (faults []string) {
	synctest.Test(t, func(*testing.T) {
		r := &run{fleet: confignet.NewEmptyFleet(), seen: make(map[string]uint64)}
		r.fleet.Configure = configure
		r.watch = newWatch(r)
		r.fleet.StartAll(fleetSize)
		pass(time.Second)
		for _, s := range script {
			r.step(s)
		}
		r.settle()
		faults = r.watch.finish()
		r.fleet.Close()
		pass(10 * time.Second)
	})
	return faults
}

func (r *run) step(s step) {
	hosts := r.fleet.Hosts()
	h, other := hosts[s.Host%len(hosts)], hosts[s.Other%len(hosts)]
	switch s.Kind {
	case "apply":
		r.apply(h, s, s.Who)
	case "race":
		r.apply(h, s, "ana")
		s.Value++
		r.apply(other, s, "eva")
	case "rollback":
		r.rollback(h, s)
	case "store-down":
		r.setStore(store.Faults{Down: true})
	case "store-up":
		r.setStore(store.Faults{Delay: time.Duration(s.Value) * time.Microsecond})
	case "lose-replies":
		var n atomic.Int64
		r.setStore(store.Faults{LoseReply: func() bool { return n.Add(1)%2 == 1 }})
	case "late-commit":
		h.DelayCommit(s.For / 8)
	case "isolate":
		r.fleet.Isolate(h)
	case "cut-platform":
		h.CutPlatform()
	case "cut-link":
		r.fleet.CutLink(h, other)
	case "heal":
		r.fleet.Heal()
	case "pause":
		r.fleet.Isolate(h)
		h.AdvanceClock(s.For)
	case "replace":
		r.watch.forget(h)
		r.fleet.Stop(h)
		r.fleet.Start()
	case "slow":
		r.fleet.SlowDown(h, s.For/2)
	case "wait":
		pass(s.For)
	}
	r.watch.look() // a fault that ends before the next tick must be seen
	pass(time.Duration(s.Value) * 100 * time.Microsecond)
}

func (r *run) setStore(f store.Faults) {
	r.down.Store(f.Down)
	r.fleet.Store.SetFaults(f)
}

// settle ends all faults, sends every uncertain request again, and lets the
// bound pass.
func (r *run) settle() {
	r.setStore(store.Faults{})
	r.fleet.Heal()
	r.ops.Wait()
	h := r.fleet.Hosts()[0]
	for _, q := range r.requests {
		if q.out.Result == config.ResultUncertain || q.out.Result == "" {
			r.ops.Go(func() {
				q.finish(q.send(h))
				r.watch.accepted(q.out)
			})
			r.ops.Wait()
		}
	}
	pass(bound + 100*time.Millisecond)
}

// request is one operator's request and its outcome.
type request struct {
	who, workspace string
	base           uint64
	value          int
	send           func(h *confignet.Host) config.Outcome
	called         time.Time
	returned       time.Time
	out            config.Outcome
}

func (q *request) finish(out config.Outcome) {
	q.out = out
	q.returned = time.Now()
}

func (r *run) request(h *confignet.Host, who, workspace string, send func(config.Request, *confignet.Host) config.Outcome, value int) {
	key := who + "/" + workspace
	r.mu.Lock()
	base := r.seen[key]
	req := config.Request{ID: fmt.Sprint("c", r.nth.Add(1)), Who: who, Base: base}
	q := &request{who: who, workspace: workspace, base: base, value: value, called: time.Now()}
	q.send = func(h *confignet.Host) config.Outcome { return send(req, h) }
	r.requests = append(r.requests, q)
	r.mu.Unlock()
	r.ops.Go(func() {
		out := q.send(h)
		r.mu.Lock()
		defer r.mu.Unlock()
		q.finish(out)
		r.watch.accepted(out)
		switch {
		case out.Change != nil:
			r.seen[key] = out.Change.Workspace.Version
		case out.Result == config.ResultConflict && out.Other != nil:
			r.seen[key] = out.Other.Workspace.Version
		}
	})
}

func (r *run) apply(h *confignet.Host, s step, who string) {
	r.request(h, who, s.Workspace, func(req config.Request, h *confignet.Host) config.Outcome {
		return h.Controller.Apply(context.Background(), confignet.Change(req.ID, who, s.Workspace, req.Base, s.Value))
	}, s.Value)
}

func (r *run) rollback(h *confignet.Host, s step) {
	r.request(h, s.Who, s.Workspace, func(req config.Request, h *confignet.Host) config.Outcome {
		return h.Controller.Rollback(context.Background(), config.RollbackRequest{Request: req, Workspace: s.Workspace, To: 1})
	}, rolledBack)
}

// Two operators change two workspaces through random hosts while answers are
// lost, commits take effect late, the store fails, hosts are cut off, paused,
// slowed and replaced. No host goes back, hosts agree on each sequence, no two
// changes win on one version, and what was accepted is in force on a host
// within the bound from when it can reach the store or a host that has it.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		for _, fault := range play(t, script, nil) {
			rt.Error(fault)
		}
	})
}

// A host that applies what it is sent without comparing sequence numbers must
// be stopped by the invariant: the older change would come back into force.
func TestApplyWithoutComparingIsCaught(t *testing.T) {
	var caught atomic.Int64
	onInvariant(t, &caught)
	synctest.Test(t, func(t *testing.T) {
		f := confignet.NewFleet(2)
		pass(time.Second)
		h := f.Hosts()
		first := change(t, h[0], "c1", 0, 7, config.ResultApplied)
		change(t, h[0], "c2", 1, 8, config.ResultApplied)
		pass(time.Second)
		h[0].Controller.PushTo(h[1].ID, *first.Change)
		pass(time.Second)
		assert.Equal(t, caught.Load(), int64(0))
		h[1].Controller.ApplyWithoutComparing()
		h[0].Controller.PushTo(h[1].ID, *first.Change)
		pass(time.Second)
		assert.Equal(t, caught.Load(), int64(1))
		f.Close()
		pass(bound)
	})
}

// The same broken rule, on all hosts, must also be found by the scripts.
func TestRandomFaultsCatchApplyWithoutComparing(t *testing.T) {
	var caught atomic.Int64
	onInvariant(t, &caught)
	script := rapid.Custom(drawScript)
	for seed := range 40 {
		_ = play(t, script.Example(seed), (*config.Controller).ApplyWithoutComparing)
	}
	assert.Check(t, caught.Load() > 0)
	t.Logf("caught %d times in 40 scripts", caught.Load())
}

// onInvariant counts broken invariants and ends the goroutine that broke one.
func onInvariant(t *testing.T, caught *atomic.Int64) {
	t.Helper()
	invariant.SetHandler(func(name invariant.Name, _ string) {
		if name == invariant.ConfigForward {
			caught.Add(1)
		}
		runtime.Goexit()
	})
	t.Cleanup(func() {
		invariant.SetHandler(func(name invariant.Name, detail string) { panic(string(name) + ": " + detail) })
	})
}

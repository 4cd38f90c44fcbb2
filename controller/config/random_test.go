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

// TestMain fixes the seed and the number of checks of the randomised tests, unless given
// on the command line.
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

// step is one step of a random script. Host numbers are taken modulo the number of hosts.
type step struct {
	Kind  string
	Host  int
	Other int
	// Operator applies Value to Workspace.
	Operator  string
	Workspace string
	Value     int
	Period    time.Duration
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
			Operator:  rapid.SampledFrom([]string{"ana", "eva"}).Draw(t, "who"),
			Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"),
			Value:     rapid.IntRange(1, 1000).Draw(t, "value"),
			Period:    time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 10, 40).Draw(t, "script")
}

// run is a script in execution.
type run struct {
	fleet   *confignet.Fleet
	checker *checker
	ops     sync.WaitGroup
	lastID  atomic.Int64

	storeDown atomic.Bool

	mu           sync.Mutex
	seenVersions map[string]uint64 // version that each operator has seen, by operator/workspace
	requests     []*request
}

// runScript executes a script in virtual time and returns the violations found.
func runScript(t *testing.T, script []step, configure func(*config.Controller)) (failures []string) {
	synctest.Test(t, func(*testing.T) {
		r := &run{fleet: confignet.NewEmptyFleet(), seenVersions: make(map[string]uint64)}
		r.fleet.Configure = configure
		r.checker = newChecker(r)
		r.fleet.StartAll(fleetSize)
		advanceTime(time.Second)
		for _, s := range script {
			r.step(s)
		}
		r.settle()
		failures = r.checker.finish()
		r.fleet.Close()
		advanceTime(10 * time.Second)
	})
	return failures
}

func (r *run) step(s step) {
	hosts := r.fleet.Hosts()
	h, other := hosts[s.Host%len(hosts)], hosts[s.Other%len(hosts)]
	switch s.Kind {
	case "apply":
		r.apply(h, s, s.Operator)
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
		h.DelayCommit(s.Period / 8)
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
		h.AdvanceClock(s.Period)
	case "replace":
		r.checker.forget(h)
		r.fleet.Stop(h)
		r.fleet.Start()
	case "slow":
		r.fleet.SlowDown(h, s.Period/2)
	case "wait":
		advanceTime(s.Period)
	}
	r.checker.check() // catch a fault that ends before the next tick
	advanceTime(time.Duration(s.Value) * 100 * time.Microsecond)
}

func (r *run) setStore(f store.Faults) {
	r.storeDown.Store(f.Down)
	r.fleet.Store.SetFaults(f)
}

// settle ends all faults, repeats every request with an uncertain outcome, and waits for
// the propagation bound.
func (r *run) settle() {
	r.setStore(store.Faults{})
	r.fleet.Heal()
	r.ops.Wait()
	h := r.fleet.Hosts()[0]
	for _, q := range r.requests {
		if q.out.Result == config.ResultUncertain || q.out.Result == "" {
			r.ops.Go(func() {
				q.finish(q.send(h))
				r.checker.accepted(q.out)
			})
			r.ops.Wait()
		}
	}
	advanceTime(propagationBound + 100*time.Millisecond)
}

// request is an operator's request and its outcome.
type request struct {
	operator, workspace string
	base                uint64
	value               int
	send                func(h *confignet.Host) config.Outcome
	called              time.Time
	returned            time.Time
	out                 config.Outcome
}

func (q *request) finish(out config.Outcome) {
	q.out = out
	q.returned = time.Now()
}

func (r *run) request(h *confignet.Host, operator, workspace string, send func(config.Request, *confignet.Host) config.Outcome, value int) {
	key := operator + "/" + workspace
	r.mu.Lock()
	base := r.seenVersions[key]
	req := config.Request{ID: fmt.Sprint("c", r.lastID.Add(1)), Operator: operator, Base: base}
	q := &request{operator: operator, workspace: workspace, base: base, value: value, called: time.Now()}
	q.send = func(h *confignet.Host) config.Outcome { return send(req, h) }
	r.requests = append(r.requests, q)
	r.mu.Unlock()
	r.ops.Go(func() {
		out := q.send(h)
		r.mu.Lock()
		defer r.mu.Unlock()
		q.finish(out)
		r.checker.accepted(out)
		switch {
		case out.Change != nil:
			r.seenVersions[key] = out.Change.Workspace.Version
		case out.Result == config.ResultConflict && out.Conflicting != nil:
			r.seenVersions[key] = out.Conflicting.Workspace.Version
		}
	})
}

func (r *run) apply(h *confignet.Host, s step, operator string) {
	r.request(h, operator, s.Workspace, func(req config.Request, h *confignet.Host) config.Outcome {
		return h.Controller.Apply(context.Background(), confignet.Change(req.ID, operator, s.Workspace, req.Base, s.Value))
	}, s.Value)
}

func (r *run) rollback(h *confignet.Host, s step) {
	r.request(h, s.Operator, s.Workspace, func(req config.Request, h *confignet.Host) config.Outcome {
		return h.Controller.Rollback(context.Background(), config.RollbackRequest{Request: req, Workspace: s.Workspace, To: 1})
	}, valueOfVersion1)
}

// Two operators change two workspaces through random hosts while replies are lost,
// commits take effect late, the store fails, and hosts are isolated, paused, slowed down
// and replaced. No host may go back to a lower sequence number, hosts must agree on the
// configuration of each sequence number, no two changes may succeed on one version, and a
// host must have every accepted change within the bound after it can reach the store or a
// host that has it.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		for _, fault := range runScript(t, script, nil) {
			rt.Error(fault)
		}
	})
}

// A host that applies changes without comparing sequence numbers would bring back an
// older one. The invariant must stop it.
func TestApplyWithoutComparingIsCaught(t *testing.T) {
	var caught atomic.Int64
	onInvariant(t, &caught)
	synctest.Test(t, func(t *testing.T) {
		f := confignet.NewFleet(2)
		advanceTime(time.Second)
		h := f.Hosts()
		first := change(t, h[0], "c1", 0, 7, config.ResultApplied)
		change(t, h[0], "c2", 1, 8, config.ResultApplied)
		advanceTime(time.Second)
		h[0].Controller.PushTo(h[1].ID, *first.Change)
		advanceTime(time.Second)
		assert.Equal(t, caught.Load(), int64(0))
		h[1].Controller.SkipSequenceCheck()
		h[0].Controller.PushTo(h[1].ID, *first.Change)
		advanceTime(time.Second)
		assert.Equal(t, caught.Load(), int64(1))
		f.Close()
		advanceTime(propagationBound)
	})
}

// The random scripts, too, must detect hosts that don't compare sequence numbers.
func TestRandomFaultsCatchApplyWithoutComparing(t *testing.T) {
	var caught atomic.Int64
	onInvariant(t, &caught)
	script := rapid.Custom(drawScript)
	for seed := range 40 {
		_ = runScript(t, script.Example(seed), (*config.Controller).SkipSequenceCheck)
	}
	assert.Check(t, caught.Load() > 0)
	t.Logf("caught %d times in 40 scripts", caught.Load())
}

// onInvariant counts violations of the invariant and ends the goroutine that caused one.
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

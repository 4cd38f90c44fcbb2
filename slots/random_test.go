package slots

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "40",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one step of a script of random faults.
type fault struct {
	After  time.Duration
	What   string
	Host   int
	Target int
}

const (
	scriptHosts   = 4
	scriptTargets = 5
)

func drawScript(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			After:  time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond,
			What:   rapid.SampledFrom([]string{"cut", "heal", "coordinator", "nobody", "lists differ", "drain", "lose replies"}).Draw(t, "what"),
			Host:   rapid.IntRange(0, scriptHosts-1).Draw(t, "host"),
			Target: rapid.IntRange(0, scriptTargets-2).Draw(t, "target"),
		}
	}), 1, 12).Draw(t, "script")
}

// Hosts send calls all the time while links between them are cut and healed, the coordinator
// moves, vanishes or differs between hosts, and targets drain, which each host learns at a
// different time. Every pick ends by its deadline. No grant goes to a target that its host has
// known to be leaving for two seconds (checked by an invariant). After all calls end, each
// coordinator's state shows every slot as free.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = runScript(script, seed) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// scriptRun is one run of a script.
type scriptRun struct {
	*cluster
	mu       sync.Mutex
	failures []string
	leaving  map[ports.HostID]time.Time
}

func (p *scriptRun) fail(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

func runScript(script []fault, seed uint64) []string {
	svc := declare.Service{Slots: 2, MaxQueue: 8, ColdStart: 500 * time.Millisecond}
	p := &scriptRun{
		cluster: newCluster(scriptHosts, scriptTargets, svc),
		leaving: make(map[ports.HostID]time.Time),
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, h := range p.hosts {
		for j := range 3 {
			callers.Go(func() { p.calls(h, rand.New(rand.NewPCG(seed, uint64(10*i+j))), stop) })
		}
	}
	for _, f := range script {
		time.Sleep(f.After)
		p.apply(f)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	p.net.UnblockAll()
	p.setCoordinator("h1")
	p.checkState("h1")
	for _, h := range p.hosts {
		h.slots.Close()
		_ = h.board.Close()
	}
	time.Sleep(time.Second)
	return p.failures
}

// checkState starts one long call on each host and checks that the coordinator's state holds
// exactly these. The hosts keep sending heartbeats, so no slot is freed by a host timeout.
func (p *scriptRun) checkState(coordinator ports.HostID) {
	var held []pick.Grant
	for _, h := range p.hosts {
		if g, _ := h.pickFor(time.Second, pick.Request{}); g != nil {
			held = append(held, g)
		}
	}
	time.Sleep(700 * time.Millisecond)
	p.expectInFlight(coordinator, len(held))
	for _, g := range held {
		g.Release(pick.Report{Class: pick.OK, Latency: time.Second, Load: -1})
	}
	time.Sleep(10 * time.Millisecond)
	p.expectInFlight(coordinator, 0)
}

func (p *scriptRun) expectInFlight(id ports.HostID, want int) {
	for _, h := range p.hosts {
		if n := h.inFlight(); h.id == id && n != want {
			p.fail("%s holds %d slots, want %d", id, n, want)
		}
	}
}

func (p *scriptRun) apply(f fault) {
	other := p.hosts[(f.Host+1)%scriptHosts].id
	id := p.hosts[f.Host].id
	switch f.What {
	case "cut":
		for _, h := range p.hosts {
			p.net.Block(id, h.id)
			p.net.Block(h.id, id)
		}
	case "lose replies":
		p.net.Block(id, other)
	case "heal":
		p.net.UnblockAll()
	case "coordinator":
		p.setCoordinator(id)
	case "nobody":
		p.setCoordinator("")
	case "lists differ":
		p.setNext(id) // only hosts whose view changes later notice
		p.hosts[f.Target%scriptHosts].touchMembers()
	case "drain":
		p.drain(ports.HostID(fmt.Sprintf("t%02d", f.Target)))
	}
}

// drain marks a target as leaving on one host after the other.
func (p *scriptRun) drain(id ports.HostID) {
	p.mu.Lock()
	if p.leaving[id].IsZero() {
		p.leaving[id] = time.Now()
	}
	p.mu.Unlock()
	for i, h := range p.hosts {
		time.AfterFunc(time.Duration(i)*300*time.Millisecond, func() {
			h.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
				return old.WithLeaving(bids, ports.RunID(id), time.Now())
			})
		})
	}
}

// calls sends one call after another until stop is closed.
func (p *scriptRun) calls(h *testHost, rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(4000)) * time.Microsecond):
		}
		deadline := time.Duration(5+rng.IntN(100)) * time.Millisecond
		began := time.Now()
		g, refusal := h.pickFor(deadline, pick.Request{Exclusive: rng.IntN(20) == 0, Hedge: rng.IntN(20) == 0})
		if waited := time.Since(began); waited > deadline {
			p.fail("a pick with a deadline of %s took %s", deadline, waited)
		}
		if g == nil {
			if refusal.Outcome != outcome.NotRun || !refusal.Reason.Valid() {
				p.fail("refused with %v", refusal)
			}
			continue
		}
		p.run(g, rng)
	}
}

// run holds a grant for the duration of its call and releases it with a random result.
func (p *scriptRun) run(g pick.Grant, rng *rand.Rand) {
	took := time.Duration(1+rng.IntN(12)) * time.Millisecond
	p.mu.Lock()
	leaving := p.leaving[g.Target().ID]
	p.mu.Unlock()
	if !leaving.IsZero() {
		g.Release(pick.Report{Class: pick.Leaving, Load: -1})
		if late := time.Since(leaving); late > 2*time.Second {
			p.fail("%s was granted %s after it started to leave", g.Target().ID, late)
		}
		return
	}
	time.Sleep(took)
	class := []pick.Class{pick.OK, pick.OK, pick.OK, pick.Failed, pick.Shed, pick.Canceled, pick.BrokeOff}[rng.IntN(7)]
	g.Release(pick.Report{Class: class, Latency: took, Load: rng.IntN(4) - 1})
}

package cactusproxy_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
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
	"github.com/cactusproxy/cactusproxy/internal/simcluster"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Generate the same histories in every run unless a seed is given.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Bounds of a generated history.
const (
	randomHosts   = 3
	randomTargets = 3
	randomKeys    = 6
	randomSteps   = 40
)

// opKind is the kind of a step.
type opKind int

const (
	opOrder opKind = iota // a request with one of a few idempotency keys
	opBurst               // requests with the same key through every host at once
	opIssue               // a host issues a key, which replaces another one
	opBrowse
	opTargetState
	opStoreDown
	opStoreLoses
	opStoreUp
	opCrash
	opStop
	opCut
	opHeal
	opApply
	opKinds
)

// op is a step of a history. All steps are generated in advance so that rapid can
// shrink a failing history.
type op struct {
	Kind  opKind
	Wait  time.Duration
	Host  int
	Other int
	Key   int
	State simcluster.State
}

func drawOp(t *rapid.T) op {
	return op{
		Kind:  opKind(rapid.IntRange(0, int(opKinds)-1).Draw(t, "kind")),
		Wait:  time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond,
		Host:  rapid.IntRange(0, randomHosts-1).Draw(t, "host"),
		Other: rapid.IntRange(0, randomHosts-1).Draw(t, "other"),
		Key:   rapid.IntRange(0, randomKeys-1).Draw(t, "key"),
		State: simcluster.State(rapid.IntRange(0, int(simcluster.Aborting)).Draw(t, "state")),
	}
}

// send is one request of the history and the reply to it.
type send struct {
	req        simcluster.Request
	begun, end time.Time
	reply      simcluster.Reply
}

// history runs a script against complete daemons and records what was observed.
type history struct {
	lab     *simcluster.Cluster
	keyFile string
	// breakTable, if set, replaces the platform's table with a faulty one.
	breakTable func(ports.Table) ports.Table
	wg         sync.WaitGroup

	mu       sync.Mutex
	sends    []send
	serial   int
	nextHost int
	hosts    [randomHosts]string
	keys     [randomKeys]string
	applied  uint64
	problems []string
}

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// start creates a deployment with one workspace in force.
func (h *history) start() {
	h.lab = simcluster.New(h.keyFile)
	if h.breakTable != nil {
		h.lab.Table = h.breakTable(h.lab.Table)
	}
	for i := range h.keys {
		h.keys[i] = fmt.Sprintf("key%d", i)
	}
	for i := range h.hosts {
		h.replace(i)
	}
	for i := range randomTargets {
		h.lab.AddTarget(fmt.Sprintf("t%d", i), "w", "s0")
	}
	time.Sleep(3 * time.Second)
	out := h.lab.Apply(context.Background(), h.hosts[0], confignet.Change("first", "ann", "w", 0, 1000))
	if out.Result != config.ResultApplied {
		h.fail("first change: %s %s", out.Result, out.Detail)
	}
	time.Sleep(2 * time.Second)
}

// replace starts a new host at the index of a host that has ended.
func (h *history) replace(place int) {
	h.nextHost++
	id := fmt.Sprintf("h%d", h.nextHost)
	h.hosts[place] = id
	if err := h.lab.Start(id); err != nil {
		h.fail("start %s: %v", id, err)
	}
}

func (h *history) do(o op) {
	time.Sleep(o.Wait)
	switch o.Kind {
	case opOrder:
		h.order(o.Host, o.Key)
	case opBurst:
		for place := range h.hosts {
			h.order(place, o.Key)
		}
	case opIssue:
		if r := h.lab.Call(simcluster.Request{Host: h.hosts[o.Host], Method: "POST", Path: "/.cactusproxy/keys/w/s0"}); r.Status == http.StatusCreated {
			h.keys[o.Key] = strings.TrimSpace(r.Body)
		}
	case opBrowse:
		h.call(o.Host, "GET", "/w/s0/list", "")
	case opTargetState:
		h.lab.Fleet.Set(ports.HostID(fmt.Sprintf("t%d", o.Key%randomTargets)), o.State)
	case opStoreDown:
		h.lab.Store.SetFaults(store.Faults{Down: true, Delay: 5 * time.Millisecond})
	case opStoreLoses:
		var n atomic.Int64
		h.lab.Store.SetFaults(store.Faults{Delay: 5 * time.Millisecond, LoseReply: func() bool { return n.Add(1)%3 == 0 }})
	case opStoreUp:
		h.lab.Store.SetFaults(store.Faults{Delay: 5 * time.Millisecond})
	case opCrash:
		h.lab.Crash(h.hosts[o.Host])
		h.replace(o.Host)
	case opStop:
		h.stop(o.Host)
	case opCut:
		h.lab.Net.Block(ports.HostID(h.hosts[o.Host]), ports.HostID(h.hosts[o.Other]))
	case opHeal:
		h.lab.Net.UnblockAll()
	case opApply:
		h.apply(o)
	}
}

// stop ends a host gracefully; requests in flight through it must complete.
func (h *history) stop(place int) {
	id := h.hosts[place]
	if err := h.lab.Stop(id); err != nil {
		h.fail("stop of %s: %v", id, err)
	}
	h.replace(place)
}

func (h *history) order(place, key int) {
	h.call(place, "POST", "/w/s0/orders", h.keys[key])
}

func (h *history) call(place int, method, path, key string) {
	h.mu.Lock()
	h.serial++
	s := send{req: simcluster.Request{
		Host: h.hosts[place], Method: method, Path: path, Key: key,
		ID: fmt.Sprintf("r%d", h.serial), Body: "body of " + key,
	}, begun: time.Now()}
	h.mu.Unlock()
	h.wg.Go(func() {
		s.reply = h.lab.Call(s.req)
		s.end = time.Now()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.sends = append(h.sends, s)
	})
}

// apply submits a change based on the version that the host has in force.
func (h *history) apply(o op) {
	d := h.lab.Daemon(h.hosts[o.Host])
	ws, ok := d.Board().Config.Load().Workspace("w")
	if !ok {
		return
	}
	h.mu.Lock()
	h.serial++
	id := fmt.Sprintf("change%d", h.serial)
	h.mu.Unlock()
	req := confignet.Change(id, "ann", "w", ws.Version, 1000+o.Key)
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		out := d.Apply(ctx, req)
		if out.Result != config.ResultApplied {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.applied = max(h.applied, out.Change.Sequence)
	})
}

// finish ends all faults, gives the hosts time to recover and checks what was
// observed.
func (h *history) finish() {
	h.lab.Net.UnblockAll()
	h.lab.Store.SetFaults(store.Faults{Delay: 5 * time.Millisecond})
	for i := range randomTargets {
		h.lab.Fleet.Set(ports.HostID(fmt.Sprintf("t%d", i)), simcluster.Up)
	}
	h.wg.Wait()
	time.Sleep(10 * time.Second)
	h.checkConfig()
	h.checkRuns()
	h.checkAnswers()
	h.lab.Close()
}

// checkConfig checks that the newest accepted change is in force on every host.
func (h *history) checkConfig() {
	for _, id := range h.lab.Hosts() {
		d := h.lab.Daemon(id)
		if seq := d.Board().Config.Load().Sequence; seq < h.applied {
			h.fail("%s has sequence %d, change %d was accepted", id, seq, h.applied)
		}
		if !d.Board().Status.Load().Ready() {
			h.fail("%s is not ready after the faults", id)
		}
	}
}

// checkRuns checks that each key ran at most once, and that after a not-run reply no
// request with the key that had been sent by then ran, before or after the reply.
func (h *history) checkRuns() {
	begun := make(map[string]time.Time)
	for _, s := range h.sends {
		begun[s.req.ID] = s.begun
	}
	runs := make(map[string][]simcluster.Run)
	for _, r := range h.lab.Fleet.Runs() {
		if r.Key != "" {
			runs[r.Key] = append(runs[r.Key], r)
		}
	}
	for key, list := range runs {
		if len(list) > 1 {
			h.fail("key %s ran %d times: %v", key, len(list), list)
		}
	}
	for _, s := range h.sends {
		if s.req.Key == "" || s.reply.Outcome != outcome.NotRun {
			continue
		}
		for _, r := range runs[s.req.Key] {
			if !begun[r.ID].After(s.end) {
				h.fail("key %s: %s told not-run (%s) at %v, ran as %s at %v", s.req.Key, s.req.ID, s.reply.Reason, s.end, r.ID, r.At)
			}
		}
	}
}

// checkAnswers checks that a fresh response belongs to its request, and a stored one
// to a request with the same key.
func (h *history) checkAnswers() {
	keyOf := make(map[string]string)
	for _, s := range h.sends {
		keyOf[s.req.ID] = s.req.Key
	}
	for _, s := range h.sends {
		if s.reply.Outcome != outcome.Answered {
			continue
		}
		if s.reply.Reason == outcome.ReasonStored {
			if keyOf[s.reply.Body] != s.req.Key {
				h.fail("%s with key %s got the stored answer of %s", s.req.ID, s.req.Key, s.reply.Body)
			}
			continue
		}
		if s.reply.Body != s.req.ID {
			h.fail("%s got the answer of %s", s.req.ID, s.reply.Body)
		}
	}
}

// play runs a script in virtual time and checks the result.
func (h *history) play(t *testing.T, script []op) {
	synctest.Test(t, func(*testing.T) {
		h.start()
		for _, o := range script {
			h.do(o)
		}
		h.finish()
	})
}

func clusterKey(t *testing.T) string {
	t.Helper()
	file := t.TempDir() + "/key"
	assert.NilError(t, os.WriteFile(file, []byte("a cluster key of more than 32 bytes"), 0o600))
	return file
}

// overwritingTable accepts every insert, as if the row did not exist.
type overwritingTable struct{ ports.Table }

func (f overwritingTable) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	for i := range ops {
		if ops[i].Kind == ports.OpInsert {
			ops[i].Kind = ports.OpPut
		}
	}
	return f.Table.Commit(ctx, ops...)
}

// Guards against checks that pass whatever happens: with a table that lets two hosts
// insert the same claim, a repeated request runs twice, and the checks must report it.
func TestRandomHistoriesCatchATableThatForgets(t *testing.T) {
	h := &history{keyFile: clusterKey(t)}
	h.breakTable = func(inner ports.Table) ports.Table { return overwritingTable{inner} }
	var broken atomic.Int64
	invariant.SetHandler(func(name invariant.Name, _ string) {
		if name == invariant.AtMostOnce {
			broken.Add(1)
		}
		panic(http.ErrAbortHandler)
	})
	defer invariant.SetHandler(nil)
	h.play(t, []op{{Kind: opBurst}, {Kind: opOrder, Host: 1, Wait: time.Second}})
	assert.Check(t, broken.Load() > 0, "no invariant was reported as broken")
	assert.Check(t, len(h.problems) > 0, "the checks found no violation")
	assert.Check(t, strings.Contains(h.problems[0], "ran"), "%v", h.problems)
}

// Guards against violations of the invariants under any order of faults: callers send
// keyed and plain requests through any host, some under the same keys, while targets
// shed load, drain, drop connections and go down, the store fails or loses replies,
// hosts crash, stop and are replaced, links between them are cut, and operators change
// the configuration.
func TestRandomHistories(t *testing.T) {
	keyFile := clusterKey(t)
	told := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawOp), 5, randomSteps).Draw(rt, "script")
		h := &history{keyFile: keyFile}
		h.play(t, script)
		for _, s := range h.sends {
			told[s.reply.Outcome.String()+" "+string(s.reply.Reason)]++
		}
		for _, p := range h.problems {
			rt.Errorf("%s", p)
		}
	})
	t.Logf("told: %v", told)
}

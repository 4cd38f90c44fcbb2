package ledger

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
)

// scenarioRuns is the number of scenarios in each randomized test.
const scenarioRuns = "4000"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.nofailfile": "true",
		"rapid.checks":     scenarioRuns,
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	invariant.SetHandler(panicOnViolation)
	os.Exit(m.Run())
}

// target is a fake target that records what it ran.
type target struct {
	mu   sync.Mutex
	runs []targetRun
}

type targetRun struct {
	key     string
	at      time.Time
	arrived time.Time
	caller  string
}

func (t *target) run(k Key) *Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, targetRun{
		key: k.Value, at: time.Now(), arrived: k.Arrived, caller: k.Caller,
	})
	return &Response{Status: 201, Body: []byte(responseBody(k))}
}

// responseBody returns the body of the target's response to a request.
func responseBody(k Key) string {
	return fmt.Sprintf("%s for %s %x", k.Value, k.Caller, k.Digest[0])
}

func (t *target) runsOf(key string) []targetRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(t.runs), func(r targetRun) bool { return r.key != key })
}

// cluster is a set of hosts with real ledgers, one table and one target.
type cluster struct {
	store  *store.Store
	table  ports.Table
	net    *peernet.Network
	target *target
	opts   Options
	hosts  []*host
}

type host struct {
	id          ports.HostID
	incarnation uint64
	ledger      *Ledger
	alive       context.Context
	crash       context.CancelFunc
	wg          sync.WaitGroup
	// view is the index of the host that this one considers the coordinator.
	view atomic.Int64
}

// count returns the value of a counter of the host's current incarnation.
func (h *host) count(name string) int {
	n, ok := h.ledger.counts.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return int(n.Value())
}

func newCluster(n int, opts Options) *cluster {
	cl := &cluster{store: store.New(store.Limits{}), net: peernet.New(), target: &target{}, opts: opts}
	cl.table = cl.store
	if cl.opts.ClusterKeys == nil {
		cl.opts.ClusterKeys = [][]byte{[]byte("secret")}
	}
	for i := range n {
		h := &host{id: ports.HostID(fmt.Sprintf("h%d", i))}
		cl.hosts = append(cl.hosts, h)
	}
	return cl
}

// start starts a new incarnation of each host.
func (cl *cluster) start() {
	for i := range cl.hosts {
		cl.boot(i)
	}
}

func (cl *cluster) boot(i int) {
	h := cl.hosts[i]
	h.incarnation++
	h.alive, h.crash = context.WithCancel(context.Background())
	l := New(Deps{
		Table: cl.table, Link: cl.net.Join(h.id), Host: h.id,
		Incarnation: h.incarnation, Options: cl.opts,
		Coordinator: func() ports.HostID { return cl.hosts[h.view.Load()].id },
	})
	h.ledger = l
	alive := h.alive
	h.wg.Go(func() { _ = l.Run(alive) })
}

// stop stops all hosts and waits for their work in progress.
func (cl *cluster) stop() {
	for _, h := range cl.hosts {
		h.crash()
		cl.net.Leave(h.id)
	}
	for _, h := range cl.hosts {
		h.wg.Wait()
	}
	// Wait for messages between the hosts that are still in transit.
	time.Sleep(time.Second)
}

// key returns a key of the default caller.
func key(value string) Key {
	return Key{Workspace: "auction", Service: "bids", Caller: "ana", Value: value, Digest: Digest{1}, DigestKnown: true}
}

// deadline is the default deadline of a call.
const deadline = 2 * time.Second

// begin starts a request on a host with the default deadline.
func (cl *cluster) begin(t *testing.T, i int, k Key) (*Claim, *Response, outcome.Result) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return cl.hosts[i].ledger.Begin(ctx, k)
}

// send runs a call from start to end the way package dispatch does.
func (cl *cluster) send(t *testing.T, i int, k Key) (*Response, outcome.Result) {
	t.Helper()
	c, a, r := cl.begin(t, i, k)
	if c == nil {
		return a, r
	}
	if !c.BeginAttempt() {
		return nil, c.GiveUp(context.Background())
	}
	a = cl.target.run(k)
	c.Finish(context.Background(), a)
	return a, outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonOK}
}

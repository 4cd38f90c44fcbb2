package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/internal/testcluster"
)

// loadCallers is the number of concurrent callers of a load. Each makes one call after the other,
// with loadPause between them.
const (
	loadCallers = 8
	loadPause   = 2 * time.Millisecond
)

// load is a set of concurrent callers. Each call goes to a random host that reports ready, as
// through the platform's load balancer.
type load struct {
	d      *deployment
	path   string
	client *http.Client
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	calls  int
	failed []string
}

// cmdLoad starts a load, or stops it and checks that no call failed.
//
//	load start /path
//	load stop        fails if any call was not answered
func cmdLoad(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 1, "load start /path | load stop")
	switch args[0] {
	case "start":
		requireArgs(ts, args, 2, "load start /path")
		d.load = startLoad(d, args[1])
	case "stop":
		if d.load == nil {
			ts.Fatalf("no load was started")
		}
		d.load.finish(ts)
	default:
		ts.Fatalf("load: unknown action %q", args[0])
	}
}

func startLoad(d *deployment, path string) *load {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &load{
		d: d, path: path, stop: cancel,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}},
	}
	for i := range loadCallers {
		l.wg.Go(func() { l.run(ctx, rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	return l
}

func (l *load) run(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		l.once(rng)
		time.Sleep(loadPause)
	}
}

func (l *load) once(rng *rand.Rand) {
	h := l.readyHost(rng)
	if h == nil {
		return
	}
	// POST, since the HTTP client would retry a GET by itself on a connection reset and so hide
	// the failure.
	req, err := http.NewRequestWithContext(l.d.ctx, http.MethodPost, "http://"+h.CallersAddr()+l.path, nil)
	if err != nil {
		l.count("%v", err)
		return
	}
	r, err := testcluster.Do(l.client, req)
	if err != nil {
		l.count("through %s: %v", h.ID, err)
		return
	}
	if r.Outcome != "answered" {
		l.count("through %s: %s %s", h.ID, r.Outcome, r.Reason)
		return
	}
	l.count("")
}

// readyHost returns a random host that reports ready, or nil.
func (l *load) readyHost(rng *rand.Rand) *testcluster.Host {
	ids := l.d.cluster.HostIDs()
	for _, i := range rng.Perm(len(ids)) {
		h, err := l.d.cluster.Host(ids[i])
		if err == nil && h.Board().Status.Load().Ready() {
			return h
		}
	}
	return nil
}

// count counts a call. With a format it records a failure.
func (l *load) count(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if format != "" {
		l.failed = append(l.failed, fmt.Sprintf(format, args...))
	}
}

func (l *load) finish(ts *testscript.TestScript) {
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	ts.Logf("%d calls, %d failed", l.calls, len(l.failed))
	if l.calls == 0 {
		ts.Fatalf("the load made no calls")
	}
	if len(l.failed) > 0 {
		ts.Fatalf("%d of %d calls failed, first: %s", len(l.failed), l.calls, l.failed[0])
	}
}

// cmdReplace replaces each running host by a new one, one after the other.
//
//	replace
func cmdReplace(ts *testscript.TestScript, d *deployment, _ []string) {
	ids := d.cluster.HostIDs()
	for i, id := range ids {
		replacement := fmt.Sprintf("fresh-%d", i+1)
		_, err := d.cluster.AddHost(replacement, "zone-"+string(rune('a'+i%3)))
		ts.Check(err)
		ts.Check(d.cluster.WaitReady(d.ctx, replacement))
		ts.Check(d.cluster.Stop(id))
	}
}

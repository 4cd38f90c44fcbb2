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

// loadCallers is the number of callers of a load; each makes one call after the
// other with a short pause.
const (
	loadCallers = 8
	loadPause   = 2 * time.Millisecond
)

// load is callers at work. They reach hosts as through the platform's balancer:
// any that says it is ready.
type load struct {
	w      *world
	path   string
	client *http.Client
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	calls  int
	failed []string
}

// cmdLoad begins calls, or ends them and checks that none failed.
//
//	load start /path
//	load stop        fails if any call was not answered
func cmdLoad(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 1, "load start /path | load stop")
	switch args[0] {
	case "start":
		need(ts, args, 2, "load start /path")
		w.load = startLoad(w, args[1])
	case "stop":
		if w.load == nil {
			ts.Fatalf("no load was started")
		}
		w.load.end(ts)
	default:
		ts.Fatalf("load: unknown word %q", args[0])
	}
}

func startLoad(w *world, path string) *load {
	ctx, cancel := context.WithCancel(w.ctx)
	l := &load{
		w: w, path: path, stop: cancel,
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
	h := l.ready(rng)
	if h == nil {
		return
	}
	// A POST: the client would send a GET again by itself when a connection is
	// reset, and hide it.
	req, err := http.NewRequestWithContext(l.w.ctx, http.MethodPost, "http://"+h.CallersAddr()+l.path, nil)
	if err != nil {
		l.note("%v", err)
		return
	}
	r, err := testcluster.Do(l.client, req)
	if err != nil {
		l.note("through %s: %v", h.ID, err)
		return
	}
	if r.Outcome != "answered" {
		l.note("through %s: %s %s", h.ID, r.Outcome, r.Reason)
		return
	}
	l.note("")
}

// ready returns a host that says it is ready.
func (l *load) ready(rng *rand.Rand) *testcluster.Host {
	ids := l.w.lab.HostIDs()
	for _, i := range rng.Perm(len(ids)) {
		h, err := l.w.lab.Host(ids[i])
		if err == nil && h.Board().Status.Load().Ready() {
			return h
		}
	}
	return nil
}

// note counts a call; with a format, one that failed.
func (l *load) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if format != "" {
		l.failed = append(l.failed, fmt.Sprintf(format, args...))
	}
}

func (l *load) end(ts *testscript.TestScript) {
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	ts.Logf("%d calls, %d failed", l.calls, len(l.failed))
	if l.calls == 0 {
		ts.Fatalf("the load made no call")
	}
	if len(l.failed) > 0 {
		ts.Fatalf("%d of %d calls failed, first: %s", len(l.failed), l.calls, l.failed[0])
	}
}

// cmdReplace replaces every host that runs by a new one, one after the other.
//
//	replace
func cmdReplace(ts *testscript.TestScript, w *world, _ []string) {
	ids := w.lab.HostIDs()
	for i, id := range ids {
		fresh := fmt.Sprintf("fresh-%d", i+1)
		_, err := w.lab.AddHost(fresh, "zone-"+string(rune('a'+i%3)))
		ts.Check(err)
		ts.Check(w.lab.WaitReady(w.ctx, fresh))
		ts.Check(w.lab.Stop(id))
	}
}

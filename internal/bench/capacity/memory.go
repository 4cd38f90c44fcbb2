package capacity

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy"
	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/settings"
)

// heap returns the bytes of heap in use after a garbage collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureTargetMemory measures the heap of a daemon for target lists of several
// lengths. The list itself is allocated before the baseline is taken, so that the
// difference belongs to the daemon.
func measureTargetMemory(ctx context.Context, s *Slopes) error {
	s.TargetMemory = Slope{Name: "target-memory", X: "targets listed", Y: "bytes of heap of a daemon"}
	for _, n := range listedSizes {
		used, err := daemonHeap(ctx, n)
		if err != nil {
			return err
		}
		s.TargetMemory.Points = append(s.TargetMemory.Points, Point{float64(n), used})
	}
	return nil
}

func daemonHeap(ctx context.Context, listed int) (float64, error) {
	st := store.New(store.Limits{})
	st.SetHosts(listedTargets(listed))
	before := heap()
	set, err := settings.Parse("capacity", []byte(`{
		"host": {"id": "h1", "zone": "a"}, "platform": {"url": "http://127.0.0.1:1"}, "drain": {"notice": "1ms"},
		"callers": {"addr": "127.0.0.1:0"}, "operators": {"addr": "127.0.0.1:0"}, "peers": {"addr": "127.0.0.1:0"},
	}`))
	if err != nil {
		return 0, err
	}
	d, err := cactusproxy.New(set,
		cactusproxy.WithLink(peernet.New().Join("h1")),
		cactusproxy.WithPlatform(cactusproxy.Platform{Table: st, Objects: st.Objects(), Hosts: st.Hosts()}))
	if err != nil {
		return 0, err
	}
	run, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.Run(run) }()
	err = testcluster.Wait(ctx, "the list", func() bool { return knownTargets(d) == listed })
	used := heap() - before
	cancel()
	<-done
	runtime.KeepAlive(st)
	return used, err
}

func knownTargets(d *cactusproxy.Daemon) int {
	n := 0
	for _, list := range d.Board().Targets.Load().ByService {
		n += len(list)
	}
	return n
}

func listedTargets(n int) []ports.Host {
	out := make([]ports.Host, n)
	for i := range out {
		out[i] = ports.Host{
			ID: ports.HostID(fmt.Sprintf("target-%d", i)), Role: ports.RoleTarget, State: ports.HostLive,
			Zone: "zone-a", Addr: "127.0.0.1:1",
			Workspace: fmt.Sprintf("w%d", i%98), Service: fmt.Sprintf("s%d", i/98%5),
		}
	}
	return out
}

// longCallDuration is the duration of the calls whose memory is measured.
const longCallDuration = 5 * time.Second

// measureCallMemory measures the heap while calls through one host are in flight.
func measureCallMemory(ctx context.Context, s *Slopes) error {
	s.CallMemory = Slope{Name: "call-memory", X: "calls in flight", Y: "bytes of heap of caller, host and target together"}
	l, err := testcluster.New(testcluster.Options{})
	if err != nil {
		return err
	}
	defer l.Close()
	h, err := l.AddHost("entry-1", "a")
	if err != nil {
		return err
	}
	if err := l.WaitReady(ctx, h.ID); err != nil {
		return err
	}
	if _, err := l.ApplyText(
		ctx, h.ID, highLimitTemplate(), confignet.Workspace("w", 100_000), nil,
	); err != nil {
		return err
	}
	for i := range 20 {
		if _, err := l.AddTarget(fmt.Sprintf("t%d", i), "a", "w", "s0", target.Options{Slots: 1000}); err != nil {
			return err
		}
	}
	if err := l.WaitTargets(ctx, h.ID, "w", "s0", 20); err != nil {
		return err
	}
	for _, n := range inFlightCounts {
		used, err := inFlightCallHeap(ctx, h, n)
		if err != nil {
			return err
		}
		s.CallMemory.Points = append(s.CallMemory.Points, Point{float64(n), used})
	}
	return nil
}

// highLimitTemplate returns the benchmark template with limits and a timeout that allow
// many concurrent calls per target.
func highLimitTemplate() config.File {
	t := *confignet.Template()
	t.Text = strings.Replace(t.Text, `"slots": 2, "maxConns": 200`, `"slots": 200, "maxConns": 5000`, 1)
	t.Text = strings.Replace(t.Text, `"timeout": "5s"`, `"timeout": "60s"`, 1)
	return t
}

func inFlightCallHeap(ctx context.Context, h *testcluster.Host, n int) (float64, error) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	before := heap()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.CallersAddr()+"/w/s0/x", nil)
			if err != nil {
				return
			}
			req.Header.Set(target.HeaderRunFor, longCallDuration.String())
			_, _ = testcluster.Do(client, req)
		})
	}
	err := testcluster.Wait(ctx, "the calls", func() bool { return h.InFlight() >= int64(n)*9/10 })
	used := heap() - before
	wg.Wait()
	return used, err
}

// measureKeys issues keys, redeems each at its issuer and stores its response.
func measureKeys(ctx context.Context, s *Slopes) error {
	s.KeyMemory = Slope{Name: "key-memory", X: "issued keys redeemed within the window", Y: "bytes of heap of the issuer"}
	s.KeyCPU = Slope{Name: "key-cpu", X: "issued keys redeemed within the window", Y: "us to issue, redeem and store one"}
	for _, n := range keyCounts {
		before := heap()
		l := ledger.New(ledger.Deps{
			Table: store.New(store.Limits{}), Link: peernet.New().Join("h1"), Host: "h1", Incarnation: 1,
			Options: ledger.Options{ClusterKeys: [][]byte{[]byte("a cluster key of more than 32 bytes")}},
		})
		start := time.Now()
		for range n {
			if err := redeem(ctx, l); err != nil {
				return err
			}
		}
		took := time.Since(start)
		s.KeyMemory.Points = append(s.KeyMemory.Points, Point{float64(n), heap() - before})
		s.KeyCPU.Points = append(s.KeyCPU.Points, Point{float64(n), micros(took) / float64(n)})
		runtime.KeepAlive(l)
	}
	return nil
}

func redeem(ctx context.Context, l *ledger.Ledger) error {
	key := ledger.Key{Workspace: "w", Service: "s", Caller: "c", DigestKnown: true}
	key.Value = l.Issue(key.Workspace, key.Service, key.Caller)
	claim, _, res := l.Begin(ctx, key)
	if claim == nil || !claim.BeginAttempt() {
		return fmt.Errorf("key not redeemed: %s", res.Reason)
	}
	claim.Finish(ctx, &ledger.Response{Status: http.StatusOK, Body: make([]byte, 100)})
	return nil
}

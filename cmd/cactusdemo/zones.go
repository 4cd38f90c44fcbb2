package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/edge"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/platform/standin"
	"github.com/cactusproxy/cactusproxy/settings"
)

// zonesLab is a deployment with an edge daemon, a simulated platform that keeps all
// routes in one record, and a target in each of two availability zones.
type zonesLab struct {
	store   *standin.Store
	targets map[string]*standin.Target
	daemon  *edge.Daemon
	closers []func()
	calls   int
}

const (
	zonesHost = "auction.example"
	nearZone  = "zone-a"
	farZone   = "zone-b"
)

func newZonesLab() (*zonesLab, error) {
	l := &zonesLab{store: standin.NewStore(), targets: make(map[string]*standin.Target)}
	store, err := l.serve(l.store)
	if err != nil {
		return l, err
	}
	l.store.Put("op", "config", standin.Config(1, standin.Route{
		Name: "lots", Host: zonesHost, Prefix: "/lots/", Type: "safe", Service: "lots", Timeout: "2s", MaxAttempts: 2,
	}))
	for _, zone := range []string{nearZone, farZone} {
		t := &standin.Target{ID: "lots-" + zone, Slots: 2, Queue: 4, Work: 5 * time.Millisecond}
		addr, err := l.serve(t)
		if err != nil {
			return l, err
		}
		l.targets[zone] = t
		l.store.Put("servers", t.ID, t.Entry("lots", addr, zone, "ready"))
	}
	return l, l.start(store)
}

// serve serves a handler on loopback until the cluster is closed.
func (l *zonesLab) serve(h http.Handler) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // returns after Close
	l.closers = append(l.closers, func() { _ = server.Close() })
	return ln.Addr().String(), nil
}

func (l *zonesLab) start(store string) error {
	s, err := settings.Parse("demo", fmt.Appendf(nil, `{
		"host": {"id": "entry-1", "zone": %q},
		"callers": {"addr": "127.0.0.1:0"}, "readiness": {"addr": "127.0.0.1:0"},
		"operators": {"addr": "127.0.0.1:0"}, "peers": {"addr": "127.0.0.1:0"},
		"directory": {"store": %q}, "measuring": {"perTarget": 60},
		"retries": {"ratio": 0.2, "window": "10s", "reserve": 60},
		"drain": {"notice": "1ms", "limit": "1s"},
	}`, nearZone, store))
	if err != nil {
		return err
	}
	l.daemon, err = edge.New(s, edge.Platform{
		Directory: func(m *metrics.Set, log *zap.Logger) directory.Source {
			return platform.NewDirectory(platform.NewStore(store), m, log)
		},
		Contract:  platform.Contract(),
		ReadyPath: platform.ReadyPath,
	}, zap.NewNop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.daemon.Run(ctx) // the demo checks responses instead
	}()
	l.closers = append(l.closers, func() { cancel(); <-done })
	return nil
}

func (l *zonesLab) close() {
	for i := len(l.closers) - 1; i >= 0; i-- {
		l.closers[i]()
	}
}

// call sends one request and returns the status and the zone of the target that ran
// it, if any.
func (l *zonesLab) call(ctx context.Context) (status int, zone string, err error) {
	l.calls++
	id := fmt.Sprintf("demo-%d", l.calls)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.daemon.CallersAddr()+"/lots/7", nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = zonesHost
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	_ = resp.Body.Close()
	for name, t := range l.targets {
		if t.Runs()[id] > 0 {
			zone = name
		}
	}
	return resp.StatusCode, zone, nil
}

// waitFor sends requests until one has the given status and zone, and returns how long
// that took.
func (l *zonesLab) waitFor(ctx context.Context, status int, zone string) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < 5*time.Second {
		got, by, err := l.call(ctx)
		if err == nil && got == status && by == zone {
			return time.Since(start).Round(time.Millisecond), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, fmt.Errorf("no status %d by a target of %q", status, zone)
}

// evacuateZones evacuates one zone, then the other, and restores both.
func (d *demo) evacuateZones(ctx context.Context) (string, error) {
	l, err := newZonesLab()
	defer l.close()
	if err != nil {
		return "", err
	}
	evacuate := func(zone string) { l.store.Put("op", "evacuate/"+zone, []byte("{}")) }
	restore := func(zone string) { l.store.Remove("op", "evacuate/"+zone) }
	var seen []string
	for _, step := range []struct {
		what   string
		change func()
		status int
		zone   string
	}{
		{"served by zone-a", func() {}, http.StatusOK, nearZone},
		{"zone-a evacuated", func() { evacuate(nearZone) }, http.StatusOK, farZone},
		{"both evacuated", func() { evacuate(farZone) }, http.StatusServiceUnavailable, ""},
		{"both taken back", func() { restore(nearZone); restore(farZone) }, http.StatusOK, nearZone},
	} {
		step.change()
		took, err := l.waitFor(ctx, step.status, step.zone)
		if err != nil {
			return "", fmt.Errorf("%s: %w", step.what, err)
		}
		seen = append(seen, fmt.Sprintf("%s after %s", step.what, took))
	}
	return strings.Join(seen, ", "), nil
}

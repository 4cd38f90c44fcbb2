// Package lab is a whole deployment in one process: the platform's stand-in,
// entry hosts and targets, which speak to each other over loopback. The demo,
// the scenarios and the load tool are built on it.
package testcluster

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy"
	"github.com/cactusproxy/cactusproxy/internal/standin/platform"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	ports "github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/settings"
)

// Token is what operators' changes carry in a lab.
const Token = "lab-token"

// Options of a Lab.
type Options struct {
	Log *zap.Logger
	// Limits of the platform's table; zero is none.
	Limits store.Limits
	// Notice is how long hosts announce a stop; 200 ms if 0.
	Notice time.Duration
}

// Cluster is one deployment. Its methods are safe for concurrent use.
type Cluster struct {
	// Store and Platform are the platform and its faults.
	Store    *store.Store
	Platform *platform.Server

	opts        Options
	dir         string
	platformURL string
	server      *http.Server

	mu      sync.Mutex
	hosts   map[string]*Host
	targets map[string]*Target
}

// New starts the platform of a deployment without hosts and targets.
func New(o Options) (*Cluster, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Notice == 0 {
		o.Notice = 200 * time.Millisecond
	}
	l := &Cluster{
		opts:    o,
		Store:   store.New(o.Limits),
		hosts:   make(map[string]*Host),
		targets: make(map[string]*Target),
	}
	l.Platform = platform.New(platform.Options{Store: l.Store})
	if err := l.writeSecrets(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.platformURL = "http://" + listener.Addr().String()
	l.server = &http.Server{Handler: l.Platform.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// writeSecrets makes the files that the hosts' settings name.
func (l *Cluster) writeSecrets() error {
	dir, err := os.MkdirTemp("", "cactuslab")
	if err != nil {
		return err
	}
	l.dir = dir
	for name, text := range map[string]string{
		"token":   Token,
		"peers":   "a key that all hosts of the lab share",
		"cluster": "another key that signs idempotency keys",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// PlatformURL is where the platform listens.
func (l *Cluster) PlatformURL() string { return l.platformURL }

// Close ends everything at once.
func (l *Cluster) Close() {
	l.mu.Lock()
	hosts, targets := l.hosts, l.targets
	l.hosts, l.targets = nil, nil
	l.mu.Unlock()
	for _, h := range hosts {
		h.Abort()
	}
	for _, t := range targets {
		t.Close()
	}
	for _, h := range hosts {
		<-h.done
	}
	_ = l.server.Close()
	_ = os.RemoveAll(l.dir)
}

// Host is an entry host.
type Host struct {
	*cactusproxy.Daemon
	ID     string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// AddHost starts an entry host and lists it.
func (l *Cluster) AddHost(id, zone string) (*Host, error) {
	s, err := settings.Parse(id, l.settingsOf(id, zone))
	if err != nil {
		return nil, err
	}
	d, err := cactusproxy.New(s, cactusproxy.WithLog(l.opts.Log))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{Daemon: d, ID: id, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		h.err = d.Run(ctx)
	}()
	l.mu.Lock()
	l.hosts[id] = h
	l.mu.Unlock()
	l.list(ports.Host{
		ID: ports.HostID(id), Role: ports.RoleEntry, State: ports.HostLive,
		Zone: zone, Addr: d.CallersAddr(), PeerAddr: d.PeersAddr(),
	})
	return h, nil
}

func (l *Cluster) settingsOf(id, zone string) []byte {
	return fmt.Appendf(nil, `{
		"host": {"id": %q, "zone": %q},
		"callers": {"addr": "127.0.0.1:0"},
		"operators": {"addr": "127.0.0.1:0", "tokenFile": %q},
		"peers": {"addr": "127.0.0.1:0", "keyFile": %q},
		"keys": {"file": %q},
		"platform": {"url": %q, "timeout": "1s"},
		"drain": {"notice": %q, "limit": "5m"},
	}`, id, zone, l.file("token"), l.file("peers"), l.file("cluster"), l.platformURL, l.opts.Notice)
}

func (l *Cluster) file(name string) string { return filepath.Join(l.dir, name) }

// Stop stops a host gracefully and returns what its run returned.
func (l *Cluster) Stop(id string) error {
	h, err := l.Host(id)
	if err != nil {
		return err
	}
	h.cancel()
	<-h.done
	l.unlist(id)
	l.mu.Lock()
	delete(l.hosts, id)
	l.mu.Unlock()
	return h.err
}

// Kill ends a host at once, as a crash would; the platform still lists it.
func (l *Cluster) Kill(id string) error {
	h, err := l.Host(id)
	if err != nil {
		return err
	}
	h.Abort()
	<-h.done
	l.mu.Lock()
	delete(l.hosts, id)
	l.mu.Unlock()
	return nil
}

// Host returns a host by its ID.
func (l *Cluster) Host(id string) (*Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hosts[id]; h != nil {
		return h, nil
	}
	return nil, errors.Newf("no host %q", id)
}

// HostIDs returns the IDs of the hosts that run, sorted.
func (l *Cluster) HostIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.hosts))
}

// Targets returns all targets, in no particular order.
func (l *Cluster) Targets() []*Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.targets))
}

// Target is a target's stand-in.
type Target struct {
	*target.Target
	ID       string
	Addr     string
	listener net.Listener

	seen atomic.Int64
}

// RunsSinceLast returns the number of runs begun since the last call of it.
func (t *Target) RunsSinceLast() int {
	n := int64(len(t.Runs()))
	return int(n - t.seen.Swap(n))
}

// AddTarget starts a target and lists it.
func (l *Cluster) AddTarget(id, zone, workspace, service string, o target.Options) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o.ID = ports.HostID(id)
	t := &Target{Target: target.New(o), ID: id, Addr: listener.Addr().String(), listener: listener}
	go func() { _ = t.Serve(listener) }()
	l.mu.Lock()
	l.targets[id] = t
	l.mu.Unlock()
	l.list(ports.Host{
		ID: ports.HostID(id), Role: ports.RoleTarget, State: ports.HostLive,
		Zone: zone, Addr: t.Addr, Workspace: workspace, Service: service,
	})
	return t, nil
}

// Target returns a target by its ID.
func (l *Cluster) Target(id string) (*Target, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		return t, nil
	}
	return nil, errors.Newf("no target %q", id)
}

// ListTargets adds targets to the platform's list that do not run.
func (l *Cluster) ListTargets(targets []ports.Host) {
	l.Store.ChangeHosts(func(list []ports.Host) []ports.Host { return append(list, targets...) })
}

func (l *Cluster) list(h ports.Host) {
	l.Store.ChangeHosts(func(list []ports.Host) []ports.Host { return append(list, h) })
}

func (l *Cluster) unlist(id string) {
	l.Store.ChangeHosts(func(list []ports.Host) []ports.Host {
		kept := list[:0]
		for _, h := range list {
			if string(h.ID) != id {
				kept = append(kept, h)
			}
		}
		return kept
	})
}

// MarkLeaving marks a host or target as leaving in the platform's list.
func (l *Cluster) MarkLeaving(id string) {
	l.Store.ChangeHosts(func(list []ports.Host) []ports.Host {
		for i := range list {
			if string(list[i].ID) == id {
				list[i].State = ports.HostLeaving
			}
		}
		return list
	})
}

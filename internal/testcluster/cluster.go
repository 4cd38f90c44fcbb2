// Package testcluster runs a whole deployment in one process: the simulated platform, entry
// hosts and simulated targets, which communicate over loopback. The demo, the scenarios and the
// load generator use it.
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

// Token is the bearer token of operator requests in a test cluster.
const Token = "lab-token"

// Options configures a Cluster.
type Options struct {
	Log *zap.Logger
	// Limits are the rate limits of the platform's table; zero means none.
	Limits store.Limits
	// DialTarget, if set, opens the connections of a host to targets.
	DialTarget func(ctx context.Context, host, addr string) (net.Conn, error)
	// Notice is how long a host announces that it is about to stop; 0 means 200 ms.
	Notice time.Duration
}

// Cluster is a deployment in one process. Its methods are safe for concurrent use.
type Cluster struct {
	// Store holds the platform's data; Platform serves it and injects faults.
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

// New starts the platform of a deployment that has no hosts or targets yet.
func New(o Options) (*Cluster, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Notice == 0 {
		o.Notice = 200 * time.Millisecond
	}
	c := &Cluster{
		opts:    o,
		Store:   store.New(o.Limits),
		hosts:   make(map[string]*Host),
		targets: make(map[string]*Target),
	}
	c.Platform = platform.New(platform.Options{Store: c.Store})
	if err := c.writeSecrets(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.platformURL = "http://" + listener.Addr().String()
	c.server = &http.Server{Handler: c.Platform.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// writeSecrets creates the secret files that the hosts' settings refer to.
func (c *Cluster) writeSecrets() error {
	dir, err := os.MkdirTemp("", "cactuslab")
	if err != nil {
		return err
	}
	c.dir = dir
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

// PlatformURL returns the base URL of the platform.
func (c *Cluster) PlatformURL() string { return c.platformURL }

// Close stops everything at once.
func (c *Cluster) Close() {
	c.mu.Lock()
	hosts, targets := c.hosts, c.targets
	c.hosts, c.targets = nil, nil
	c.mu.Unlock()
	for _, h := range hosts {
		h.Abort()
	}
	for _, t := range targets {
		t.Close()
	}
	for _, h := range hosts {
		<-h.done
	}
	_ = c.server.Close()
	_ = os.RemoveAll(c.dir)
}

// Host is an entry host.
type Host struct {
	*cactusproxy.Daemon
	ID     string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// AddHost starts an entry host and adds it to the platform's host list.
func (c *Cluster) AddHost(id, zone string) (*Host, error) {
	s, err := settings.Parse(id, c.hostSettings(id, zone))
	if err != nil {
		return nil, err
	}
	d, err := cactusproxy.New(s, cactusproxy.WithLog(c.opts.Log), c.targetDialer(id))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{Daemon: d, ID: id, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		h.err = d.Run(ctx)
	}()
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	c.addToList(ports.Host{
		ID: ports.HostID(id), Role: ports.RoleEntry, State: ports.HostLive,
		Zone: zone, Addr: d.CallersAddr(), PeerAddr: d.PeersAddr(),
	})
	return h, nil
}

// targetDialer returns the option that lets the cluster open a host's connections to targets.
func (c *Cluster) targetDialer(host string) cactusproxy.Option {
	if c.opts.DialTarget == nil {
		return cactusproxy.WithTargetDialer(nil)
	}
	return cactusproxy.WithTargetDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		return c.opts.DialTarget(ctx, host, addr)
	})
}

func (c *Cluster) hostSettings(id, zone string) []byte {
	return fmt.Appendf(nil, `{
		"host": {"id": %q, "zone": %q},
		"callers": {"addr": "127.0.0.1:0"},
		"operators": {"addr": "127.0.0.1:0", "tokenFile": %q},
		"peers": {"addr": "127.0.0.1:0", "keyFile": %q},
		"keys": {"file": %q},
		"platform": {"url": %q, "timeout": "1s"},
		"drain": {"notice": %q, "limit": "5m"},
	}`, id, zone, c.path("token"), c.path("peers"), c.path("cluster"), c.platformURL, c.opts.Notice)
}

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

// Stop stops a host gracefully and returns the error of its Run.
func (c *Cluster) Stop(id string) error {
	h, err := c.Host(id)
	if err != nil {
		return err
	}
	h.cancel()
	<-h.done
	c.removeFromList(id)
	c.mu.Lock()
	delete(c.hosts, id)
	c.mu.Unlock()
	return h.err
}

// Kill stops a host at once, as in a crash. The platform still lists it.
func (c *Cluster) Kill(id string) error {
	h, err := c.Host(id)
	if err != nil {
		return err
	}
	h.Abort()
	<-h.done
	c.mu.Lock()
	delete(c.hosts, id)
	c.mu.Unlock()
	return nil
}

// Host returns a host by its ID.
func (c *Cluster) Host(id string) (*Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h != nil {
		return h, nil
	}
	return nil, errors.Newf("no host %q", id)
}

// HostIDs returns the IDs of the running hosts, sorted.
func (c *Cluster) HostIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.hosts))
}

// Targets returns all targets, in no particular order.
func (c *Cluster) Targets() []*Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.targets))
}

// Target is a simulated target.
type Target struct {
	*target.Target
	ID       string
	Addr     string
	listener net.Listener

	reported atomic.Int64
}

// RunsSinceLast returns the number of runs started since the previous call to it.
func (t *Target) RunsSinceLast() int {
	n := int64(len(t.Runs()))
	return int(n - t.reported.Swap(n))
}

// AddTarget starts a target and adds it to the platform's host list.
func (c *Cluster) AddTarget(id, zone, workspace, service string, o target.Options) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o.ID = ports.HostID(id)
	t := &Target{Target: target.New(o), ID: id, Addr: listener.Addr().String(), listener: listener}
	go func() { _ = t.Serve(listener) }()
	c.mu.Lock()
	c.targets[id] = t
	c.mu.Unlock()
	c.addToList(ports.Host{
		ID: ports.HostID(id), Role: ports.RoleTarget, State: ports.HostLive,
		Zone: zone, Addr: t.Addr, Workspace: workspace, Service: service,
	})
	return t, nil
}

// Target returns a target by its ID.
func (c *Cluster) Target(id string) (*Target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[id]; t != nil {
		return t, nil
	}
	return nil, errors.Newf("no target %q", id)
}

// ListTargets adds targets to the platform's host list that do not run.
func (c *Cluster) ListTargets(targets []ports.Host) {
	c.Store.ChangeHosts(func(list []ports.Host) []ports.Host { return append(list, targets...) })
}

func (c *Cluster) addToList(h ports.Host) {
	c.Store.ChangeHosts(func(list []ports.Host) []ports.Host { return append(list, h) })
}

func (c *Cluster) removeFromList(id string) {
	c.Store.ChangeHosts(func(list []ports.Host) []ports.Host {
		kept := list[:0]
		for _, h := range list {
			if string(h.ID) != id {
				kept = append(kept, h)
			}
		}
		return kept
	})
}

// MarkLeaving marks a host or target as leaving in the platform's host list.
func (c *Cluster) MarkLeaving(id string) {
	c.Store.ChangeHosts(func(list []ports.Host) []ports.Host {
		for i := range list {
			if string(list[i].ID) == id {
				list[i].State = ports.HostLeaving
			}
		}
		return list
	})
}

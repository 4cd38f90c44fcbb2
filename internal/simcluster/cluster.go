package simcluster

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy"
	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/settings"
)

// Cluster is a deployment in virtual time. Only Call may be used from several goroutines at once.
type Cluster struct {
	Store *store.Store
	// Table is the table that hosts started from now on use.
	Table ports.Table
	Net   *peernet.Network
	Fleet *Fleet

	keyFile string
	mu      sync.Mutex
	hosts   map[string]*host
}

type host struct {
	daemon *cactusproxy.Daemon
	stop   context.CancelFunc
	done   chan error
}

// peerDelay is the one-way latency between hosts, and storeDelay the duration of an operation of
// the platform.
const (
	peerDelay  = 500 * time.Microsecond
	storeDelay = 5 * time.Millisecond
)

// New returns a deployment without hosts. keyFile holds the cluster key.
func New(keyFile string) *Cluster {
	c := &Cluster{
		Store:   store.New(store.Limits{}),
		Net:     peernet.New(),
		Fleet:   NewFleet(5 * time.Millisecond),
		keyFile: keyFile,
		hosts:   make(map[string]*host),
	}
	c.Table = c.Store
	c.Net.Delay = func(ports.HostID, ports.HostID) time.Duration { return peerDelay }
	c.Store.SetFaults(store.Faults{Delay: storeDelay})
	return c
}

// Start starts an entry host and adds it to the host list.
func (c *Cluster) Start(id string) error {
	s, err := settings.Parse(id, fmt.Appendf(nil, `{
		"host": {"id": %q, "zone": "zone-a"},
		"callers": {"addr": "127.0.0.1:1"},
		"operators": {"addr": "127.0.0.1:1"},
		"peers": {"addr": "127.0.0.1:1"},
		"keys": {"file": %q},
		"platform": {"url": "http://127.0.0.1:1"},
		"drain": {"notice": "1s"},
	}`, id, c.keyFile))
	if err != nil {
		return err
	}
	d, err := cactusproxy.New(s,
		cactusproxy.WithLink(c.Net.Join(ports.HostID(id))),
		cactusproxy.WithPlatform(cactusproxy.Platform{Table: c.Table, Objects: c.Store.Objects(), Hosts: c.Store.Hosts()}),
		cactusproxy.WithUpstream(c.Fleet),
		cactusproxy.WithProber(c.Fleet.Probe),
	)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{daemon: d, stop: cancel, done: make(chan error, 1)}
	go func() { h.done <- d.Run(ctx) }()
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	c.addToList(ports.Host{ID: ports.HostID(id), Role: ports.RoleEntry, State: ports.HostLive, Zone: "zone-a", Addr: "127.0.0.1:1", PeerAddr: "127.0.0.1:1"})
	return nil
}

// Crash stops a host abruptly. The platform still lists it until its run has ended.
func (c *Cluster) Crash(id string) {
	h := c.remove(id)
	if h == nil {
		return
	}
	c.Net.Leave(ports.HostID(id))
	h.daemon.Abort()
	<-h.done
	h.stop()
	c.removeFromList(id)
}

// Stop stops a host gracefully.
func (c *Cluster) Stop(id string) error {
	h := c.remove(id)
	if h == nil {
		return nil
	}
	h.stop()
	err := <-h.done
	c.Net.Leave(ports.HostID(id))
	c.removeFromList(id)
	return err
}

func (c *Cluster) remove(id string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[id]
	delete(c.hosts, id)
	return h
}

// deliveryTime is enough for messages in transit to arrive or be lost.
const deliveryTime = 10 * time.Second

// Close stops all hosts and waits for the messages between them.
func (c *Cluster) Close() {
	for _, id := range c.Hosts() {
		c.Crash(id)
	}
	time.Sleep(deliveryTime)
}

// Hosts returns the IDs of the running hosts, sorted.
func (c *Cluster) Hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Daemon returns a running host, or nil.
func (c *Cluster) Daemon(id string) *cactusproxy.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h != nil {
		return h.daemon
	}
	return nil
}

// AddTarget adds a target to the host list.
func (c *Cluster) AddTarget(id, workspace, service string) {
	c.addToList(ports.Host{
		ID: ports.HostID(id), Role: ports.RoleTarget, State: ports.HostLive, Zone: "zone-a",
		Addr: "127.0.0.1:1", Workspace: workspace, Service: service,
	})
}

func (c *Cluster) addToList(h ports.Host) {
	c.Store.ChangeHosts(func(list []ports.Host) []ports.Host { return append(list, h) })
}

func (c *Cluster) removeFromList(id string) {
	c.Store.ChangeHosts(func(list []ports.Host) []ports.Host {
		return slices.DeleteFunc(list, func(h ports.Host) bool { return string(h.ID) == id })
	})
}

// Apply applies a configuration change through a host.
func (c *Cluster) Apply(ctx context.Context, id string, req config.ApplyRequest) config.Outcome {
	d := c.Daemon(id)
	if d == nil {
		return config.Outcome{Result: config.ResultUnavailable}
	}
	return d.Apply(ctx, req)
}

// Request is a call to make.
type Request struct {
	Host   string
	Method string
	Path   string
	Key    string
	ID     string
	Body   string
}

// Reply is the response to a call. A zero Outcome means that the connection was aborted.
type Reply struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Status  int
	Body    string
}

var outcomes = map[string]outcome.Outcome{
	outcome.Answered.String(): outcome.Answered,
	outcome.NotRun.String():   outcome.NotRun,
	outcome.Unknown.String():  outcome.Unknown,
}

// Call makes a call and waits for the response. If the host is not running or stops meanwhile,
// the result is an aborted connection.
func (c *Cluster) Call(req Request) Reply {
	d := c.Daemon(req.Host)
	if d == nil {
		return Reply{}
	}
	r := httptest.NewRequest(req.Method, req.Path, strings.NewReader(req.Body))
	r.Header.Set(target.HeaderRequestID, req.ID)
	if req.Key != "" {
		r.Header.Set(target.HeaderKey, req.Key)
	}
	w := httptest.NewRecorder()
	if aborted := serve(d.Handler(), w, r); aborted || c.Daemon(req.Host) != d {
		return Reply{}
	}
	return Reply{
		Outcome: outcomes[w.Header().Get(outcome.HeaderOutcome)],
		Reason:  outcome.Reason(w.Header().Get(outcome.HeaderReason)),
		Status:  w.Code,
		Body:    w.Body.String(),
	}
}

// serve passes a request to the handler and reports whether it aborted the connection.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			aborted = true
		}
	}()
	h.ServeHTTP(w, r)
	return false
}

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

// Cluster is one deployment in virtual time. It is used from one goroutine, but for
// Call, which may be used from many.
type Cluster struct {
	Store *store.Store
	// Table is what hosts that start later get for their table.
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

// peerDelay and storeDelay are the times one way between hosts, and for an
// operation of the platform.
const (
	peerDelay  = 500 * time.Microsecond
	storeDelay = 5 * time.Millisecond
)

// New returns a deployment without hosts. keyFile holds the cluster key.
func New(keyFile string) *Cluster {
	l := &Cluster{
		Store:   store.New(store.Limits{}),
		Net:     peernet.New(),
		Fleet:   NewFleet(5 * time.Millisecond),
		keyFile: keyFile,
		hosts:   make(map[string]*host),
	}
	l.Table = l.Store
	l.Net.Delay = func(ports.HostID, ports.HostID) time.Duration { return peerDelay }
	l.Store.SetFaults(store.Faults{Delay: storeDelay})
	return l
}

// Start starts an entry host and lists it.
func (l *Cluster) Start(id string) error {
	s, err := settings.Parse(id, fmt.Appendf(nil, `{
		"host": {"id": %q, "zone": "zone-a"},
		"callers": {"addr": "127.0.0.1:1"},
		"operators": {"addr": "127.0.0.1:1"},
		"peers": {"addr": "127.0.0.1:1"},
		"keys": {"file": %q},
		"platform": {"url": "http://127.0.0.1:1"},
		"drain": {"notice": "1s"},
	}`, id, l.keyFile))
	if err != nil {
		return err
	}
	d, err := cactusproxy.New(s,
		cactusproxy.WithLink(l.Net.Join(ports.HostID(id))),
		cactusproxy.WithPlatform(cactusproxy.Platform{Table: l.Table, Objects: l.Store.Objects(), Hosts: l.Store.Hosts()}),
		cactusproxy.WithUpstream(l.Fleet),
		cactusproxy.WithProber(l.Fleet.Probe),
	)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{daemon: d, stop: cancel, done: make(chan error, 1)}
	go func() { h.done <- d.Run(ctx) }()
	l.mu.Lock()
	l.hosts[id] = h
	l.mu.Unlock()
	l.list(ports.Host{ID: ports.HostID(id), Role: ports.RoleEntry, State: ports.HostLive, Zone: "zone-a", Addr: "127.0.0.1:1", PeerAddr: "127.0.0.1:1"})
	return nil
}

// Crash ends a host as a crash would. The platform still lists it for a while.
func (l *Cluster) Crash(id string) {
	h := l.remove(id)
	if h == nil {
		return
	}
	l.Net.Leave(ports.HostID(id))
	h.daemon.Abort()
	<-h.done
	h.stop()
	l.unlist(id)
}

// Stop stops a host gracefully.
func (l *Cluster) Stop(id string) error {
	h := l.remove(id)
	if h == nil {
		return nil
	}
	h.stop()
	err := <-h.done
	l.Net.Leave(ports.HostID(id))
	l.unlist(id)
	return err
}

func (l *Cluster) remove(id string) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[id]
	delete(l.hosts, id)
	return h
}

// drain is the time in which messages under way arrive or are lost.
const drain = 10 * time.Second

// Close ends all hosts and lets the messages between them run out.
func (l *Cluster) Close() {
	for _, id := range l.Hosts() {
		l.Crash(id)
	}
	time.Sleep(drain)
}

// Hosts returns the IDs of the hosts that run, sorted.
func (l *Cluster) Hosts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id := range l.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Daemon returns a host that runs, or nil.
func (l *Cluster) Daemon(id string) *cactusproxy.Daemon {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hosts[id]; h != nil {
		return h.daemon
	}
	return nil
}

// AddTarget lists a target.
func (l *Cluster) AddTarget(id, workspace, service string) {
	l.list(ports.Host{
		ID: ports.HostID(id), Role: ports.RoleTarget, State: ports.HostLive, Zone: "zone-a",
		Addr: "127.0.0.1:1", Workspace: workspace, Service: service,
	})
}

func (l *Cluster) list(h ports.Host) {
	l.Store.ChangeHosts(func(list []ports.Host) []ports.Host { return append(list, h) })
}

func (l *Cluster) unlist(id string) {
	l.Store.ChangeHosts(func(list []ports.Host) []ports.Host {
		return slices.DeleteFunc(list, func(h ports.Host) bool { return string(h.ID) == id })
	})
}

// Apply commits a change through a host.
func (l *Cluster) Apply(ctx context.Context, id string, req config.ApplyRequest) config.Outcome {
	d := l.Daemon(id)
	if d == nil {
		return config.Outcome{Result: config.ResultUnavailable}
	}
	return d.Apply(ctx, req)
}

// Request is one call of a caller.
type Request struct {
	Host   string
	Method string
	Path   string
	Key    string
	ID     string
	Body   string
}

// Reply is what the caller got. A zero Outcome means that the connection broke.
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

// Call makes a call and waits for its reply. A call through a host that is gone,
// or that goes meanwhile, breaks.
func (l *Cluster) Call(req Request) Reply {
	d := l.Daemon(req.Host)
	if d == nil {
		return Reply{}
	}
	r := httptest.NewRequest(req.Method, req.Path, strings.NewReader(req.Body))
	r.Header.Set(target.HeaderRequestID, req.ID)
	if req.Key != "" {
		r.Header.Set(target.HeaderKey, req.Key)
	}
	w := httptest.NewRecorder()
	if broke := serve(d.Handler(), w, r); broke || l.Daemon(req.Host) != d {
		return Reply{}
	}
	return Reply{
		Outcome: outcomes[w.Header().Get(outcome.HeaderOutcome)],
		Reason:  outcome.Reason(w.Header().Get(outcome.HeaderReason)),
		Status:  w.Code,
		Body:    w.Body.String(),
	}
}

// serve reports whether the handler broke the caller's connection off.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (broke bool) {
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			broke = true
		}
	}()
	h.ServeHTTP(w, r)
	return false
}

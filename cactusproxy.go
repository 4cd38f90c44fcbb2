// Package cactusproxy is a load balancer for servers whose load shifts in
// milliseconds. New makes a daemon from its settings and Run runs it; many
// daemons fit in one process. The programs in cmd are thin wrappers.
//
// The controllers of a daemon share the sections of a blackboard. The request
// path (entry, dispatch, slots, upstream) reads immutable snapshots of it. It
// waits for another host or the platform in two places alone, and never beyond
// the call's deadline: for the grant of a slot, and for the claim of an
// at-most-once call.
package cactusproxy

import (
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/backpressure"
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/budget"
	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/controller/leave"
	"github.com/cactusproxy/cactusproxy/controller/membership"
	"github.com/cactusproxy/cactusproxy/controller/probes"
	"github.com/cactusproxy/cactusproxy/controller/targets"
	"github.com/cactusproxy/cactusproxy/entry"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/settings"
	"github.com/cactusproxy/cactusproxy/slots"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Platform is what the platform gives, for daemons that do not reach it over
// HTTP as their settings say.
type Platform struct {
	Table   ports.Table
	Objects ports.ObjectStore
	Hosts   ports.HostList
}

// Option changes how New makes a daemon.
type Option func(*options)

type options struct {
	log      *zap.Logger
	platform *Platform
	upstream upstream.RoundTripper
	link     peer.Link
	prober   probes.Prober
}

// WithLog has the daemon log to this logger; without it nothing is logged.
func WithLog(log *zap.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithPlatform puts another platform behind the daemon than the settings name.
func WithPlatform(p Platform) Option {
	return func(o *options) { o.platform = &p }
}

// WithUpstream sends attempts to targets in another way than over HTTP.
func WithUpstream(u upstream.RoundTripper) Option {
	return func(o *options) { o.upstream = u }
}

// WithProber probes targets in another way than over HTTP.
func WithProber(p probes.Prober) Option {
	return func(o *options) { o.prober = p }
}

// WithLink reaches the other hosts over this link in place of TCP. The daemon
// then opens no listeners: callers and operators are served by Handler and
// Operators alone.
func WithLink(l peer.Link) Option {
	return func(o *options) { o.link = l }
}

// Daemon is one entry host.
type Daemon struct {
	settings    *settings.Settings
	incarnation uint64
	log         *zap.Logger
	metrics     *metrics.Set
	board       *blackboard.Board
	platform    Platform
	cleanup     []func()

	listeners  listeners
	link       peer.Link
	node       *peer.Node // nil if the link was given
	pools      *upstream.Pools
	slots      *slots.Picker
	picker     *backpressure.Picker
	ledger     *ledger.Ledger
	quarantine *quarantine.Quarantine
	entry      *entry.Server
	config     *config.Controller
	members    *membership.Controller
	targets    *targets.Controller
	leave      *leave.Controller
	budget     *budget.Shares
	probes     *probes.Controller

	callers   daemon.Callers
	answers   *entry.ServerResponseMonitor
	operators *http.Server

	aborted chan struct{}
	abort   sync.Once
}

// listeners are open from New on, so that a port that is taken shows at once
// and a test can ask for any free one.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// New makes a daemon and opens its listeners. Settings come from
// settings.Load or settings.Parse, which check them. A daemon that is not run
// must be closed.
func New(s *settings.Settings, opts ...Option) (*Daemon, error) {
	o := options{log: zap.NewNop()}
	for _, opt := range opts {
		opt(&o)
	}
	d := &Daemon{
		settings: s,
		log:      o.log.With(zap.String("host", s.Host.ID)),
		metrics:  metrics.New(),
		board:    blackboard.New(),
		aborted:  make(chan struct{}),
	}
	if err := d.provision(o); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Close frees what New took. Run does so by itself when it ends.
func (d *Daemon) Close() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	d.cleanup = nil
}

// Abort ends Run at once, as a crash would: calls in flight are cut off, nobody
// is told, nothing is handed over.
func (d *Daemon) Abort() { d.abort.Do(func() { close(d.aborted) }) }

// CallersAddr returns the address that callers use.
func (d *Daemon) CallersAddr() string {
	return addrOf(d.listeners.callers, d.settings.Callers.Addr)
}

// OperatorsAddr returns the address that operators use.
func (d *Daemon) OperatorsAddr() string {
	return addrOf(d.listeners.operators, d.settings.Operators.Addr)
}

// PeersAddr returns the address that other entry hosts use.
func (d *Daemon) PeersAddr() string {
	return addrOf(d.listeners.peers, d.settings.Peers.Addr)
}

// addrOf returns where a listener listens, or what the settings say if it was
// not opened.
func addrOf(l net.Listener, set string) string {
	if l == nil {
		return set
	}
	return l.Addr().String()
}

// Handler serves callers.
func (d *Daemon) Handler() http.Handler { return d.callers.Server.Handler }

// Operators serves operators.
func (d *Daemon) Operators() http.Handler { return d.operators.Handler }

// Metrics returns the daemon's counters.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// Board returns the daemon's blackboard, for reading.
func (d *Daemon) Board() *blackboard.Board { return d.board }

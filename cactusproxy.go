// Package cactusproxy is an HTTP load balancer for back ends whose load changes
// within milliseconds. New builds a Daemon, one entry host, from its settings, and
// Run serves until its context ends. Several daemons can run in one process. The
// programs in cmd are thin wrappers.
//
// The controllers of a daemon share state through the sections of a blackboard.
// The request path (entry, dispatch, slots, upstream) reads immutable snapshots of
// it. It blocks on another host or on the platform in only two places, both bounded
// by the request's deadline: to be granted a slot, and to claim the idempotency key
// of an at-most-once request.
package cactusproxy

import (
	"context"
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
	"github.com/cactusproxy/cactusproxy/relay"
	"github.com/cactusproxy/cactusproxy/settings"
	"github.com/cactusproxy/cactusproxy/slots"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Platform holds the services of the platform. WithPlatform uses it in place of the
// HTTP client that the settings configure.
type Platform struct {
	Table   ports.Table
	Objects ports.ObjectStore
	Hosts   ports.HostList
}

// Option configures a daemon built by New.
type Option func(*options)

type options struct {
	log      *zap.Logger
	platform *Platform
	upstream upstream.RoundTripper
	link     peer.Link
	prober   probes.Prober
	dial     func(ctx context.Context, addr string) (net.Conn, error)
}

// WithLog sets the logger; without it nothing is logged.
func WithLog(log *zap.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithPlatform replaces the platform that the settings name.
func WithPlatform(p Platform) Option {
	return func(o *options) { o.platform = &p }
}

// WithUpstream replaces the HTTP transport that sends attempts to targets.
func WithUpstream(u upstream.RoundTripper) Option {
	return func(o *options) { o.upstream = u }
}

// WithTargetDialer replaces the function that opens connections to targets.
func WithTargetDialer(dial func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithProber replaces the HTTP prober of targets.
func WithProber(p probes.Prober) Option {
	return func(o *options) { o.prober = p }
}

// WithLink replaces the TCP link to the other hosts. The daemon then opens no
// listeners: callers and operators are served only through Handler and Operators.
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
	relay      *relay.Server // nil if the link was given
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

	callers   *daemon.Callers
	answers   *entry.ServerResponseMonitor
	operators *http.Server

	aborted chan struct{}
	abort   sync.Once
}

// listeners are opened by New, so that a port in use is reported before Run and a
// test can bind port 0 and read the address.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// New builds a daemon and opens its listeners. The settings must come from
// settings.Load or settings.Parse, which validate them. A daemon that is not run
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

// Close releases the resources that New acquired. Run calls it on return.
func (d *Daemon) Close() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	d.cleanup = nil
}

// Abort ends Run immediately, as a crash would: requests in flight are dropped, and
// the other hosts are neither notified nor handed any state.
func (d *Daemon) Abort() { d.abort.Do(func() { close(d.aborted) }) }

// CallersAddr returns the address that serves callers.
func (d *Daemon) CallersAddr() string {
	return addrOf(d.listeners.callers, d.settings.Callers.Addr)
}

// OperatorsAddr returns the address that serves operators.
func (d *Daemon) OperatorsAddr() string {
	return addrOf(d.listeners.operators, d.settings.Operators.Addr)
}

// PeersAddr returns the address that other entry hosts connect to.
func (d *Daemon) PeersAddr() string {
	return addrOf(d.listeners.peers, d.settings.Peers.Addr)
}

// addrOf returns the address of a listener, or the configured address if the
// listener was not opened.
func addrOf(l net.Listener, set string) string {
	if l == nil {
		return set
	}
	return l.Addr().String()
}

// Handler returns the HTTP handler for callers.
func (d *Daemon) Handler() http.Handler { return d.callers.Server.Handler }

// Operators returns the HTTP handler for operators.
func (d *Daemon) Operators() http.Handler { return d.operators.Handler }

// Metrics returns the daemon's counters.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// Board returns the daemon's blackboard. Callers must not modify it.
func (d *Daemon) Board() *blackboard.Board { return d.board }

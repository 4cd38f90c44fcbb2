// Package edge is the proxy daemon for platforms that publish one directory of routes and
// targets for all hosts.
//
// It shares the request path (packages entry, dispatch and upstream), the peer link,
// quarantine and graceful shutdown with the daemon of package cactusproxy. It differs in how
// state reaches a host and how targets are chosen: a few hosts watch the directory and forward
// its changes to all others, and targets are picked by the load that they report at that
// moment. The other daemon keeps configuration, membership and slot grants in the platform's
// table instead.
//
// Features that such a platform has no use for are not started: claims of idempotency keys,
// leases of the probe budget and configuration changes by operators.
package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/backpressure"
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/admission"
	"github.com/cactusproxy/cactusproxy/controller/leave"
	"github.com/cactusproxy/cactusproxy/controller/quota"
	"github.com/cactusproxy/cactusproxy/controller/watch"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/entry"
	"github.com/cactusproxy/cactusproxy/intake"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pipeline"
	"github.com/cactusproxy/cactusproxy/placer"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/relay"
	"github.com/cactusproxy/cactusproxy/settings"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Platform adapts a daemon to the platform that it runs on.
type Platform struct {
	// Directory opens the platform's directory of routes and targets. The source counts in m
	// and logs to log.
	Directory func(m *metrics.Set, log *zap.Logger) directory.Source
	// Contract names the HTTP headers that the platform's callers and targets use.
	Contract *targetapi.Contract
	// DialTarget opens connections to targets; nil dials TCP.
	DialTarget func(ctx context.Context, addr string) (net.Conn, error)
	// ReadyPath is the path of the readiness check of the platform's load balancer.
	ReadyPath string
}

// Daemon is the proxy process of one host. Create it with New and start it with Run.
type Daemon struct {
	settings    *settings.Settings
	platform    Platform
	incarnation uint64
	log         *zap.Logger
	metrics     *metrics.Set
	board       *blackboard.Board
	cleanup     []func()

	listeners  listeners
	node       *peer.Node
	pools      *upstream.Pools
	relay      *relay.Server
	quarantine *quarantine.Quarantine
	placer     *placer.Placer
	entry      *entry.Server
	watch      *watch.Controller
	quota      *quota.Controller
	picker     *backpressure.Picker
	admission  *admission.Controller
	leave      *leave.Controller

	callers    *daemon.Callers
	intake     *intake.Intake
	pipeline   *pipeline.Pipeline // nil if it is turned off
	ownAnswers *entry.ServerResponseMonitor
	readiness  *http.Server
	operators  *http.Server
}

// listeners are opened by New, so that a port in use is reported before Run.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	operators net.Listener
	peers     net.Listener
}

// New returns a daemon with its listeners open. A daemon that is never run must be released
// with Close.
func New(s *settings.Settings, p Platform, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		platform:    p,
		incarnation: uint64(time.Now().UnixNano()),
		log:         log.With(zap.String("host", s.Host.ID)),
		metrics:     metrics.New(),
		board:       blackboard.New(),
	}
	d.cleanup = append(d.cleanup, func() { _ = d.board.Close() })
	if err := d.listen(); err != nil {
		d.Close()
		return nil, err
	}
	d.provision()
	return d, nil
}

// Close releases the resources that New acquired. Run calls it before it returns.
func (d *Daemon) Close() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	d.cleanup = nil
}

// Board returns the daemon's shared state. The caller must not modify it.
func (d *Daemon) Board() *blackboard.Board { return d.board }

// Metrics returns the daemon's counters.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// CallersAddr returns the listen address for client traffic.
func (d *Daemon) CallersAddr() string { return d.listeners.callers.Addr().String() }

// ReadinessAddr returns the listen address for readiness checks.
func (d *Daemon) ReadinessAddr() string { return d.listeners.readiness.Addr().String() }

// PeersAddr returns the listen address for other proxy hosts.
func (d *Daemon) PeersAddr() string { return d.listeners.peers.Addr().String() }

// Package edge is the daemon for platforms that keep one record of routes and
// targets for all hosts. It shares the request path (entry, dispatch, upstream),
// the peer link, quarantine and the graceful stop with the daemon of package
// cactusproxy. Instead of configuration, membership and grants over the platform's
// table it has a watch that few hosts keep for all, and targets are chosen by what
// they tell at that moment. Nothing runs that such a platform has no use for:
// claims of idempotency keys, leases of the measuring budget, operators' changes.
package edge

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/backpressure"
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/leave"
	"github.com/cactusproxy/cactusproxy/controller/quota"
	"github.com/cactusproxy/cactusproxy/controller/watch"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/entry"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/placer"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/settings"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Platform is what a daemon needs from the platform.
type Platform struct {
	// Directory opens the platform's record for a daemon with these counters and log.
	Directory func(m *metrics.Set, log *zap.Logger) directory.Source
	Contract  *targetapi.Contract
	// ReadyPath is where the platform's balancer asks for readiness.
	ReadyPath string
}

// Daemon is one entry host.
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
	quarantine *quarantine.Quarantine
	placer     *placer.Placer
	entry      *entry.Server
	watch      *watch.Controller
	quota      *quota.Controller
	picker     *backpressure.Picker
	leave      *leave.Controller

	callers   daemon.Callers
	answers   *entry.ServerResponseMonitor
	readiness *http.Server
	operators *http.Server
}

// listeners are open from New on, so that a port that is taken shows at once.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	operators net.Listener
	peers     net.Listener
}

// New makes a daemon and opens its listeners. A daemon that is not run must be
// closed.
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

// Close frees what New took. Run does so by itself when it ends.
func (d *Daemon) Close() {
	for i := len(d.cleanup) - 1; i >= 0; i-- {
		d.cleanup[i]()
	}
	d.cleanup = nil
}

// Board returns the daemon's blackboard, for reading.
func (d *Daemon) Board() *blackboard.Board { return d.board }

// Metrics returns the daemon's counters.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// CallersAddr returns the address that callers use.
func (d *Daemon) CallersAddr() string { return d.listeners.callers.Addr().String() }

// ReadinessAddr returns the address that the platform's balancer uses.
func (d *Daemon) ReadinessAddr() string { return d.listeners.readiness.Addr().String() }

// PeersAddr returns the address that other entry hosts use.
func (d *Daemon) PeersAddr() string { return d.listeners.peers.Addr().String() }

package cactusproxy

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/backpressure"
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/budget"
	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/controller/membership"
	"github.com/cactusproxy/cactusproxy/controller/probes"
	"github.com/cactusproxy/cactusproxy/controller/targets"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/entry"
	"github.com/cactusproxy/cactusproxy/intake"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/operator"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/ports/httpstore"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/settings"
	"github.com/cactusproxy/cactusproxy/slots"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Defaults for omitted settings.
const (
	defaultMaxHeader   = 64 << 10  // bytes
	defaultBodyMemory  = 128 << 20 // bytes
	defaultReadHeader  = 5 * time.Second
	defaultIdle        = 2 * time.Minute
	defaultDialTimeout = time.Second
)

// provision builds the components of the daemon in dependency order, starting with
// the listeners. The components register their handlers of peer messages here,
// before the link starts to serve.
func (d *Daemon) provision(o options) error {
	d.incarnation = membership.NewIncarnation(time.Now())
	d.cleanup = append(d.cleanup, func() { _ = d.board.Close() })
	for _, step := range []func(options) error{
		d.provisionListeners,
		d.provisionPlatform,
		d.provisionPeers,
		d.provisionUpstream,
		d.provisionLedger,
	} {
		if err := step(o); err != nil {
			return err
		}
	}
	d.provisionControllers()
	d.provisionProbes(o)
	d.provisionCallers(o)
	d.provisionLeave()
	return d.provisionOperators()
}

func (d *Daemon) provisionListeners(o options) error {
	if o.link != nil {
		return nil
	}
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{d.settings.Callers.Addr, &d.listeners.callers},
		{d.settings.Operators.Addr, &d.listeners.operators},
		{d.settings.Peers.Addr, &d.listeners.peers},
	} {
		opened, err := net.Listen("tcp", l.addr)
		if err != nil {
			return err
		}
		*l.to = opened
		d.cleanup = append(d.cleanup, func() { _ = opened.Close() })
	}
	return nil
}

func (d *Daemon) provisionPlatform(o options) error {
	if o.platform != nil {
		d.platform = *o.platform
		return nil
	}
	token, err := settings.Secret(d.settings.Platform.TokenFile)
	if err != nil {
		return err
	}
	client, err := httpstore.New(httpstore.Config{
		URL:     d.settings.Platform.URL,
		Token:   string(token),
		Timeout: d.settings.Platform.Timeout.Or(httpstore.DefaultTimeout),
	})
	if err != nil {
		return err
	}
	d.cleanup = append(d.cleanup, client.Close)
	d.platform = Platform{Table: client.Table(), Objects: client.Objects(), Hosts: client.Hosts()}
	return nil
}

func (d *Daemon) provisionPeers(o options) error {
	d.link = o.link
	if o.link != nil {
		return nil
	}
	tlsConfig, err := d.settings.Peers.TLS.Server()
	if err != nil {
		return err
	}
	key, err := settings.Key(d.settings.Peers.KeyFile)
	if err != nil {
		return err
	}
	d.node = peer.NewNode(peer.Options{
		Self:        d.id(),
		Incarnation: d.incarnation,
		Listener:    d.listeners.peers,
		TLS:         tlsConfig,
		Key:         key,
		Log:         d.log,
		Metrics:     d.metrics,
	})
	d.link = d.node
	d.cleanup = append(d.cleanup, d.node.Close)
	return nil
}

func (d *Daemon) id() ports.HostID { return ports.HostID(d.settings.Host.ID) }

func (d *Daemon) provisionControllers() {
	d.config = config.New(config.Deps{
		Board:   d.board,
		Table:   d.platform.Table,
		Objects: d.platform.Objects,
		Link:    d.link,
		Metrics: d.metrics,
		Log:     d.log,
	})
	d.targets = targets.New(targets.Options{
		Board:   d.board,
		Link:    d.link,
		Log:     d.log,
		Metrics: d.metrics,
	})
	d.members = membership.New(membership.Options{
		Host:        d.self(),
		Incarnation: d.incarnation,
		Link:        d.link,
		Peers:       d.peerSetter(),
		Board:       d.board,
		List:        d.platform.Hosts,
		OnList:      d.targets.ApplyList,
		Log:         d.log,
		Metrics:     d.metrics,
	})
	d.quarantine = quarantine.New(quarantine.Deps{
		Link:    d.link,
		Members: d.eligibleMembers,
		Metrics: d.metrics,
		Log:     d.log,

		MembersKnown: func() bool { return d.board.Status.Load().Serving() },
	})
	d.slots = slots.New(slots.Deps{
		Board:       d.board,
		Link:        d.link,
		Coordinator: coordinator,
		Metrics:     d.metrics,
		Log:         d.log,
		Seed:        d.incarnation,
		OnLeaving:   d.markLeaving,
	})
	d.cleanup = append(d.cleanup, d.slots.Close)
	d.picker = backpressure.New(backpressure.Deps{
		Picker: d.slots,
		Board:  d.board,
		Link:   d.link,
		Zone:   d.settings.Host.Zone,
		// This daemon does not watch a store, so that it may account for the limits
		// of targets only if it reaches most of the other hosts.
		Watched:   func() bool { return false },
		OnLeaving: func(key blackboard.ServiceKey, t blackboard.Target) { d.markLeaving(key, t.ID) },
		Metrics:   d.metrics,
		Log:       d.log,
	})
}

func (d *Daemon) provisionProbes(o options) {
	d.budget = budget.New(budget.Deps{
		Table:       d.platform.Table,
		Self:        d.id(),
		Incarnation: d.incarnation,
		Config:      d.board.Config.Load,
		Metrics:     d.metrics,
		Log:         d.log,
	})
	prober := o.prober
	if prober == nil {
		prober = probes.HTTPProber(d.pools.Dial)
	}
	d.probes = probes.New(probes.Deps{
		Board:     d.board,
		Source:    probeSource{d.slots},
		Budget:    d.budget,
		Prober:    prober,
		Leaving:   d.markLeaving,
		OnSignals: d.recordSignals,
		BackedOff: d.picker.BackedOff,
		Metrics:   d.metrics,
		Log:       d.log,

		OnAnswered: d.quarantine.TargetAnswered,
	})
}

// peerSetter returns what receives the addresses of the other hosts, or nil if the
// link was supplied by WithLink.
func (d *Daemon) peerSetter() membership.PeerSetter {
	if d.node == nil {
		return nil
	}
	return d.node
}

// self returns the entry of this host in the list of members.
func (d *Daemon) self() ports.Host {
	peerAddr := d.settings.Peers.Advertise
	if peerAddr == "" {
		peerAddr = d.PeersAddr()
	}
	return ports.Host{
		ID:       d.id(),
		Role:     ports.RoleEntry,
		State:    ports.HostLive,
		Zone:     d.settings.Host.Zone,
		Region:   d.settings.Host.Region,
		Addr:     d.CallersAddr(),
		PeerAddr: peerAddr,
	}
}

// coordinator picks the live host that allocates the slots of a service, by
// rendezvous hashing.
func coordinator(key blackboard.ServiceKey, m *blackboard.Members) (ports.HostID, bool) {
	owner, ok := rendezvous.Owner(key.String(), m.Members)
	return owner.Host.ID, ok
}

func (d *Daemon) eligibleMembers() []ports.HostID {
	var ids []ports.HostID
	for _, m := range d.board.Members.Load().Eligible() {
		ids = append(ids, m.Host.ID)
	}
	return ids
}

// recordSignals records the load signals that a target reported about itself.
func (d *Daemon) recordSignals(
	key blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals,
) {
	d.picker.HandleSignals(key, t, s)
}

// markLeaving records that a target announced its shutdown in a response. The
// targets controller notifies the other hosts.
func (d *Daemon) markLeaving(key blackboard.ServiceKey, id ports.HostID) {
	d.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		return old.WithLeaving(key, ports.RunID(id), time.Now())
	})
}

func (d *Daemon) provisionCallers(o options) {
	var up upstream.RoundTripper = d.pools
	if o.upstream != nil {
		up = o.upstream
	}
	dispatcher := dispatch.New(dispatch.Deps{
		Board:      d.board,
		Picker:     d.picker,
		Upstream:   up,
		Ledger:     d.ledger,
		Quarantine: d.quarantine,
		Metrics:    d.metrics,
		OnSignals:  d.recordSignals,
		OnBroken:   func(_ blackboard.ServiceKey, t blackboard.Target) { d.pools.Verify(t) },
	})
	memory := d.settings.Callers.BodyMemoryBytes
	if memory == 0 {
		memory = defaultBodyMemory
	}
	d.entry = entry.New(entry.Deps{
		Board:       d.board,
		Dispatcher:  dispatcher,
		Metrics:     d.metrics,
		BodyMemory:  memory,
		IssueKey:    d.ledger.Issue,
		ConfigFresh: d.config.Fresh,
	})
	header := d.settings.Callers.MaxHeaderBytes
	if header == 0 {
		header = defaultMaxHeader
	}
	callers := &http.Server{
		Handler:           d.entry,
		MaxHeaderBytes:    header,
		ReadHeaderTimeout: d.settings.Callers.ReadHeaderTimeout.Or(defaultReadHeader),
		IdleTimeout:       d.settings.Callers.IdleTimeout.Or(defaultIdle),
		ErrorLog:          zap.NewStdLog(d.log),
		// OPTIONS * is routed like any other request; net/http would answer it with 200.
		DisableGeneralOptionsHandler: true,
	}
	d.answers = entry.NewServerResponseMonitor(d.log, d.metrics, targetapi.Default().RequestID)
	d.answers.Attach(callers)
	d.callers = &daemon.Callers{Server: callers, InFlight: d.entry.InFlight}
	if l := d.listeners.callers; l != nil {
		bound := intake.New(intake.Options{
			Name:         "callers",
			MaxConns:     daemon.MaxCallerConns(d.settings),
			TLS:          d.settings.Callers.TLS.Enabled(),
			Memory:       d.entry.BodyMemory(),
			WriteTimeout: daemon.CallerWriteTimeout,
			Metrics:      d.metrics,
			Log:          d.log,
		})
		bound.Attach(callers)
		d.callers.Listener = d.answers.Listener(bound.Server(bound.Accepted(l)))
	}
}

func (d *Daemon) provisionOperators() error {
	token, err := settings.Secret(d.settings.Operators.TokenFile)
	if err != nil {
		return err
	}
	routes := operator.New(operator.Deps{
		Config:  d.config,
		Metrics: d.metrics,
		Log:     d.log,
		Token:   string(token),
	})
	d.operators = &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: defaultReadHeader,
		IdleTimeout:       defaultIdle,
		ErrorLog:          zap.NewStdLog(d.log),
	}
	if d.callers.Server.TLSConfig, err = d.settings.Callers.TLS.Server(); err != nil {
		return err
	}
	d.operators.TLSConfig, err = d.settings.Operators.TLS.Server()
	return err
}

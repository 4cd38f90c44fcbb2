package edge

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/calllog"
	"github.com/cactusproxy/cactusproxy/controller/leave"
	"github.com/cactusproxy/cactusproxy/controller/watch"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/entry"
	"github.com/cactusproxy/cactusproxy/intake"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pipeline"
	"github.com/cactusproxy/cactusproxy/placer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/relay"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Defaults of optional settings, and shares of the configured memory limit.
const (
	// defaultReadHeaderTimeout applies to the readiness and operator listeners.
	defaultReadHeaderTimeout = 5 * time.Second
	// auxiliaryReadTimeout bounds a whole request on those listeners, auxiliaryWriteTimeout the request and its
	// response: the response to a request that isn't read to its end needs time, too.
	auxiliaryReadTimeout  = 5 * time.Second
	auxiliaryWriteTimeout = 10 * time.Second
	// auxiliaryHeaderBytes is the largest header there, in bytes.
	auxiliaryHeaderBytes = 4 << 10
	// defaultDialTimeout leaves time to try another target within the shortest deadlines in
	// use, about a second. A connection inside a region takes 1 to 3 ms. A lost SYN adds a
	// second, which is too long to wait for.
	defaultDialTimeout = 250 * time.Millisecond
	// defaultBodyMemory, in bytes, holds request bodies of 60 kB for a thousand concurrent
	// requests.
	defaultBodyMemory = 64 << 20
	// bodyMemoryDivisor divides the memory limit: buffered request bodies may use a quarter.
	bodyMemoryDivisor = 4
	// defaultResponseMemory, in bytes, holds 256 buffered responses of the largest size that is
	// buffered.
	defaultResponseMemory = 64 << 20
	// responseMemoryDivisor divides the memory limit: responses that are buffered until complete
	// may use an eighth. Together with request bodies this is three eighths of the limit, and half of it with
	// uploads.
	responseMemoryDivisor = 8
	// uploadMemoryDivisor divides the memory limit: requests whose body is sent on as it arrives may use an
	// eighth.
	uploadMemoryDivisor = 8
	// goMemoryLimitPercent is the Go memory limit as a percentage of the process's memory limit.
	// The rest is for stacks and socket buffers.
	goMemoryLimitPercent = 60
	// gcPercent is the value for debug.SetGCPercent. Hosts allocate little and have less
	// memory to spare than CPU time.
	gcPercent = 50
	// defaultDrainNotice is the time between the stop signal and the closing of the listener. The
	// platform's load balancer checks once a second and removes a host after two failures. The
	// process is killed 6 s after the signal and an upload may take 4 s, so that requests
	// accepted later than 3 s after the signal might not complete.
	defaultDrainNotice = 2800 * time.Millisecond
	// defaultDrainLimit ends the drain before the platform kills the process, 6 s after the
	// signal.
	defaultDrainLimit = 5500 * time.Millisecond
	// defaultRetryWindow is the length of the sliding window of the retry budget.
	defaultRetryWindow = 10 * time.Second
)

func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{d.settings.Callers.Addr, &d.listeners.callers},
		{d.settings.Readiness.Addr, &d.listeners.readiness},
		{d.settings.Operators.Addr, &d.listeners.operators},
		{d.settings.Peers.Addr, &d.listeners.peers},
	} {
		opened, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.addr)
		}
		*l.to = opened
		d.cleanup = append(d.cleanup, func() { _ = opened.Close() })
	}
	return nil
}

// provision creates the daemon's components, from the listeners inward. It registers the
// handlers of peer messages, which must be in place before the peer link starts to serve.
func (d *Daemon) provision() {
	if mb := d.settings.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * goMemoryLimitPercent / 100)
		debug.SetGCPercent(gcPercent)
	}
	d.node = peer.NewNode(peer.Options{
		Self:        d.self().ID(),
		Incarnation: d.incarnation,
		Listener:    d.listeners.peers,
		Dial:        dialPeer,
		Log:         d.log,
		Metrics:     d.metrics,
	})
	d.cleanup = append(d.cleanup, d.node.Close)
	d.pools = upstream.New(upstream.Options{
		DialTimeout: d.settings.Targets.DialTimeout.Or(defaultDialTimeout),
		Source:      net.ParseIP(d.settings.Targets.SourceAddr),
		Dial:        d.platform.DialTarget,
		Relay: relay.NewClient(relay.ClientDeps{
			Board:   d.board,
			Streams: d.node,
			Self:    d.self().ID(),
			Zone:    d.settings.Host.Zone,
			Seed:    d.incarnation,
			Metrics: d.metrics,
		}),
		OnPathLost: func(t blackboard.Target) { d.relay.PathLost(t) },
		OnReached:  func(t blackboard.Target) { d.quarantine.TargetReached(t.RunID()) },
		MaxConns:   daemon.MaxTargetConns(d.settings),
		Metrics:    d.metrics,
		Log:        d.log,
	})
	d.cleanup = append(d.cleanup, d.pools.Close)
	d.relay = relay.NewServer(relay.ServerDeps{
		Board:   d.board,
		Streams: d.node,
		Dial:    d.pools.DialOwn,
		Metrics: d.metrics,
		Log:     d.log,
	})
	d.watch = watch.New(watch.Deps{
		Self:      d.self(),
		Region:    d.settings.Host.Region,
		Seeds:     d.settings.Peers.Seeds,
		UnderLoad: !d.settings.Directory.FirstStart,
		Source:    d.platform.Directory(d.metrics, d.log),
		Link:      d.node,
		Peers:     d.node,
		Reach:     d.node,
		Board:     d.board,
		Metrics:   d.metrics,
		Log:       d.log,
		Seed:      d.incarnation,
	})
	d.provisionQuota()
	d.quarantine = quarantine.New(quarantine.Deps{
		Link:    d.node,
		Members: d.memberIDs,
		Metrics: d.metrics,
		Log:     d.log,

		MembersKnown: func() bool { return d.board.Status.Load().Serving() },
		Verifies:     true,
	})
	d.placer = placer.New(placer.Deps{
		Board:      d.board,
		Upstream:   d.pools,
		Contract:   d.platform.Contract,
		Probes:     placer.NewProbeQuota(d.board, d.settings.Measuring.PerTarget),
		Zone:       d.settings.Host.Zone,
		Regions:    d.settings.Zones,
		Seed:       d.incarnation,
		Metrics:    d.metrics,
		Log:        d.log,
		OnLeaving:  d.markLeaving,
		OnSignals:  d.observeSignals,
		OnAnswered: d.quarantine.TargetAnswered,
	})
	d.provisionPicker()
	d.provisionAdmission()
	d.provisionCallers()
	d.provisionServers()
	d.provisionLeave()
}

// dialPeer opens a connection to another host. The connection detects a dead peer by TCP
// keep-alive and TCP_USER_TIMEOUT.
func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	return upstream.Dialer(defaultDialTimeout)(ctx, "tcp", addr)
}

// self returns this host as it is announced to its peers.
func (d *Daemon) self() directory.Host {
	addr := d.settings.Peers.Advertise
	if addr == "" {
		addr = d.PeersAddr()
	}
	return directory.Host{Addr: addr, Zone: d.settings.Host.Zone, Start: int64(d.incarnation)}
}

func (d *Daemon) memberIDs() []ports.HostID {
	members := d.board.Members.Load().Members
	ids := make([]ports.HostID, len(members))
	for i, m := range members {
		ids[i] = m.Host.ID
	}
	return ids
}

// markLeaving records that a target announced its shutdown in a response.
func (d *Daemon) markLeaving(key blackboard.ServiceKey, t blackboard.Target) {
	d.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		return old.WithLeaving(key, t.RunID(), time.Now())
	})
}

// verifyTarget checks in the background whether a target whose connection broke is alive.
func (d *Daemon) verifyTarget(key blackboard.ServiceKey, t blackboard.Target) {
	d.pools.Verify(t)
	d.quarantine.Verify(t.RunID(), func() { d.placer.ProbeTarget(key, t) })
}

func (d *Daemon) provisionCallers() {
	dispatcher := dispatch.New(dispatch.Deps{
		Board:               d.board,
		Picker:              d.admission,
		Upstream:            d.pools,
		Quarantine:          d.quarantine,
		Metrics:             d.metrics,
		Contract:            d.platform.Contract,
		OnSignals:           d.observeSignals,
		OnBroken:            d.verifyTarget,
		Retries:             newRetryBudget(d.settings.Retries, d.board, !d.settings.Directory.FirstStart),
		ResponseBufferBytes: d.responseMemory(),
	})
	d.entry = entry.New(entry.Deps{
		Board:              d.board,
		Dispatcher:         dispatcher,
		Metrics:            d.metrics,
		BodyMemory:         d.bodyMemory(),
		UploadMemory:       d.uploadMemory(),
		LinkBytesPerSecond: d.settings.LinkMbps * 1e6 / 8,
		WatchesStore:       d.watch.Watches,
		ConfigFresh:        func() bool { return true },
		Contract:           d.platform.Contract,
		Finder:             entry.NewRouteFinder(d.board, d.watch),
		Quota:              d.quota,
		CallLog:            calllog.New(d.log, d.metrics),
		AwaitStart:         d.watch.AwaitStart,
		ReplicaAge:         d.watch.ReplicaAge,
		AwaitCurrent:       d.watch.AwaitCurrent,
	})
}

func (d *Daemon) bodyMemory() int64 {
	if n := d.settings.Callers.BodyMemoryBytes; n > 0 {
		return n
	}
	if mb := d.settings.MemoryMB; mb > 0 {
		return int64(mb) << 20 / bodyMemoryDivisor
	}
	return defaultBodyMemory
}

func (d *Daemon) uploadMemory() int64 {
	return int64(d.settings.MemoryMB) << 20 / uploadMemoryDivisor
}

func (d *Daemon) responseMemory() int64 {
	if mb := d.settings.MemoryMB; mb > 0 {
		return int64(mb) << 20 / responseMemoryDivisor
	}
	return defaultResponseMemory
}

func (d *Daemon) provisionServers() {
	header := d.settings.Callers.MaxHeaderBytes
	if header == 0 {
		header = defaultMaxHeaderBytes
	}
	callers := &http.Server{
		Handler:           d.entry.ProxyHandler(),
		MaxHeaderBytes:    header,
		ReadHeaderTimeout: d.settings.Callers.ReadHeaderTimeout.Or(defaultCallerHeaderTimeout),
		IdleTimeout:       d.settings.Callers.IdleTimeout.Or(defaultIdleTimeout),
		ErrorLog:          zap.NewStdLog(d.log),
		// net/http would answer OPTIONS * with status 200 although no route matches it.
		DisableGeneralOptionsHandler: true,
	}
	d.ownAnswers = entry.NewServerResponseMonitor(d.log, d.metrics, d.platform.Contract.RequestID)
	d.ownAnswers.Attach(callers)
	d.intake = intake.New(intake.Options{
		Name:         "callers",
		MaxConns:     daemon.MaxCallerConns(d.settings),
		Memory:       d.entry.BodyMemory(),
		WriteTimeout: daemon.CallerWriteTimeout,
		Metrics:      d.metrics,
		Log:          d.log,
	})
	d.intake.Attach(callers)
	accepted := d.intake.Accepted(d.listeners.callers)
	d.callers = &daemon.Callers{
		Server:   callers,
		Listener: d.ownAnswers.Listener(d.intake.Server(accepted)),
		InFlight: d.entry.InFlight,
	}
	d.provisionPipeline(accepted)
	d.readiness = d.auxiliaryServer("readiness", &d.listeners.readiness, d.platform.ReadyPath, http.HandlerFunc(d.serveReadiness))
	d.operators = d.auxiliaryServer("operators", &d.listeners.operators, MetricsPath, d.metrics)
}

// provisionPipeline lets requests of one connection run at the same time, unless the settings turn it
// off. accepted is the listener for callers.
func (d *Daemon) provisionPipeline(accepted net.Listener) {
	if d.settings.Callers.Pipeline.Off {
		return
	}
	d.pipeline = pipeline.New(pipeline.Options{
		MayRunAhead:   d.entry.MayRunAhead,
		PerConnection: d.settings.Callers.Pipeline.RequestsPerConnection,
		PerHost:       d.settings.Callers.Pipeline.RequestsPerHost,
		Memory:        d.entry.BodyMemory(),
		Metrics:       d.metrics,
	})
	d.pipeline.Attach(d.callers.Server)
	d.callers.Pipeline = d.pipeline
	d.callers.Listener = d.ownAnswers.Listener(d.intake.Server(d.pipeline.Listener(accepted)))
	d.callers.Ahead = d.ownAnswers.Listener(d.pipeline.Ahead(d.listeners.callers.Addr()))
}

// inFlight returns the number of requests whose response isn't complete, including those that this
// host carries for others.
func (d *Daemon) inFlight() int {
	n := int(d.entry.InFlight()) + d.relay.Active()
	if d.pipeline != nil {
		n += d.pipeline.Undelivered()
	}
	return n
}

// MetricsPath is the path of the metrics on the operators' listener.
const MetricsPath = "/metrics"

// auxiliaryServer returns a server for one path on a listener, whose connections it bounds.
func (d *Daemon) auxiliaryServer(name string, l *net.Listener, path string, h http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	s := &http.Server{
		Handler:           mux,
		MaxHeaderBytes:    auxiliaryHeaderBytes,
		ReadHeaderTimeout: defaultReadHeaderTimeout,
		ReadTimeout:       auxiliaryReadTimeout,
		WriteTimeout:      auxiliaryWriteTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ErrorLog:          zap.NewStdLog(d.log),
	}
	bound := intake.New(intake.Options{Name: name, MaxConns: daemon.MaxAuxiliaryConns, Metrics: d.metrics, Log: d.log})
	bound.Attach(s)
	*l = bound.Server(bound.Accepted(*l))
	return s
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.board.Status.Load().Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (d *Daemon) provisionLeave() {
	d.leave = leave.New(leave.Options{
		Board:       d.board,
		InFlight:    d.inFlight,
		DrainPeriod: d.settings.Drain.Notice.Or(defaultDrainNotice),
		Limit:       d.settings.Drain.Limit.Or(defaultDrainLimit),
		Log:         d.log,
		Metrics:     d.metrics,
		Hooks: []leave.Hook{
			{Stage: leave.Announce, Name: "relay", Func: d.relay.Drain},
			{Stage: leave.Close, Name: "callers", Func: d.callers.Close},
		},
	})
}

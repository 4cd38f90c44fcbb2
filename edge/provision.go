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
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/placer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Defaults of settings that are left out.
const (
	// defaultReadHeader is for the platform's balancer and operators.
	defaultReadHeader = 5 * time.Second
	// defaultDialTimeout leaves time for another target within the shortest
	// deadlines in use, about a second. Inside a region a connection takes 1 to
	// 3 ms; a lost packet adds a second and is not waited for.
	defaultDialTimeout = 250 * time.Millisecond
	// defaultBodyMemory holds bodies of 60 kB for a thousand calls in flight.
	defaultBodyMemory = 64 << 20
	// bodyMemoryShare is the part of the memory limit that bodies may take.
	bodyMemoryShare = 4
	// defaultAnswerMemory holds 256 answers of the largest size that is held.
	defaultAnswerMemory = 64 << 20
	// answerMemoryShare is the part of the memory limit that answers may take which are
	// held until they are whole: with bodies, three eighths of it.
	answerMemoryShare = 8
	// heapShare is the part of the memory limit, in percent, at which the garbage
	// collector works harder; the rest is for stacks and socket buffers.
	heapShare = 60
	// garbageShare is how much garbage there may be beside what is in use, in percent: hosts
	// allocate little, and have less memory to spare than processor time.
	garbageShare = 50
	// defaultNotice is how long a stop is announced: the balancer asks once a
	// second and takes a host out after two misses. What is taken later than 3 s
	// after the signal must be answered before the process ends, and an upload may
	// take 4 s: with 3.2 s here one that came after 3.04 s was cut off at the end.
	defaultNotice = 2800 * time.Millisecond
	// defaultLimit ends a stop before the platform kills the process, 6 s after
	// the signal.
	defaultLimit = 5500 * time.Millisecond
	// defaultWindow is the span that further attempts are counted in.
	defaultWindow = 10 * time.Second
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

// provision makes the daemon's parts, from the listeners inwards. Handlers of
// peer messages are registered here, before the link serves.
func (d *Daemon) provision() {
	if mb := d.settings.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * heapShare / 100)
		debug.SetGCPercent(garbageShare)
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
	})
	d.cleanup = append(d.cleanup, d.pools.Close)
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
		Members: d.hosts,
		Metrics: d.metrics,
		Log:     d.log,
	})
	d.placer = placer.New(placer.Deps{
		Board:     d.board,
		Upstream:  d.pools,
		Contract:  d.platform.Contract,
		Probes:    placer.NewProbeQuota(d.board, d.settings.Measuring.PerTarget),
		Zone:      d.settings.Host.Zone,
		Regions:   d.settings.Zones,
		Seed:      d.incarnation,
		Metrics:   d.metrics,
		Log:       d.log,
		OnLeaving: d.markLeaving,
		OnSignals:     d.heard,
	})
	d.provisionPicker()
	d.provisionCallers()
	d.provisionServers()
	d.provisionLeave()
}

// dialPeer opens a connection to another host that notices silence by itself.
func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	return upstream.Dialer(defaultDialTimeout)(ctx, "tcp", addr)
}

// self is this host as the others know it.
func (d *Daemon) self() directory.Host {
	addr := d.settings.Peers.Advertise
	if addr == "" {
		addr = d.PeersAddr()
	}
	return directory.Host{Addr: addr, Zone: d.settings.Host.Zone, Start: int64(d.incarnation)}
}

func (d *Daemon) hosts() []ports.HostID {
	members := d.board.Members.Load().Members
	ids := make([]ports.HostID, len(members))
	for i, m := range members {
		ids[i] = m.Host.ID
	}
	return ids
}

// markLeaving notes that a target's own answer said that it is to stop.
func (d *Daemon) markLeaving(key blackboard.ServiceKey, t blackboard.Target) {
	d.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		return old.WithLeaving(key, t.Run(), time.Now())
	})
}

func (d *Daemon) provisionCallers() {
	dispatcher := dispatch.New(dispatch.Deps{
		Board:       d.board,
		Picker:      d.picker,
		Upstream:    d.pools,
		Quarantine:  d.quarantine,
		Metrics:     d.metrics,
		Contract:    d.platform.Contract,
		Heard:       d.heard,
		Retries:     newRetries(d.settings.Retries, d.board),
		HoldAnswers: d.answerMemory(),
	})
	d.entry = entry.New(entry.Deps{
		Board:      d.board,
		Dispatcher: dispatcher,
		Metrics:    d.metrics,
		BodyMemory: d.bodyMemory(),
		LinkBytes:  d.settings.LinkMbps * 1e6 / 8,
		Watches:    d.watch.Watches,
		Fresh:      func() bool { return true },
		Contract:   d.platform.Contract,
		Finder:     entry.NewRouteFinder(d.board, d.watch),
		Quota:      d.quota,
		Calls:      calllog.New(d.log, d.metrics),
		AwaitStart: d.watch.AwaitStart,
	})
}

func (d *Daemon) bodyMemory() int64 {
	if n := d.settings.Callers.BodyMemoryBytes; n > 0 {
		return n
	}
	if mb := d.settings.MemoryMB; mb > 0 {
		return int64(mb) << 20 / bodyMemoryShare
	}
	return defaultBodyMemory
}

func (d *Daemon) answerMemory() int64 {
	if mb := d.settings.MemoryMB; mb > 0 {
		return int64(mb) << 20 / answerMemoryShare
	}
	return defaultAnswerMemory
}

func (d *Daemon) provisionServers() {
	header := d.settings.Callers.MaxHeaderBytes
	if header == 0 {
		header = defaultMaxHeader
	}
	callers := &http.Server{
		Handler:           d.entry.Calls(),
		MaxHeaderBytes:    header,
		ReadHeaderTimeout: d.settings.Callers.ReadHeaderTimeout.Or(defaultCallerHeader),
		IdleTimeout:       d.settings.Callers.IdleTimeout.Or(defaultIdle),
		ErrorLog:          zap.NewStdLog(d.log),
		// OPTIONS * is a request like any other: net/http would answer it with 200.
		DisableGeneralOptionsHandler: true,
	}
	d.answers = entry.NewOwnAnswers(d.log, d.metrics, d.platform.Contract.RequestID)
	d.answers.Watch(callers)
	d.callers = daemon.Callers{
		Server:   callers,
		Listener: d.answers.Listener(d.listeners.callers),
		InFlight: d.entry.InFlight,
	}
	d.readiness = d.smallServer(d.platform.ReadyPath, http.HandlerFunc(d.ready))
	d.operators = d.smallServer(PathMetrics, d.metrics)
}

// PathMetrics is where the operators' listener serves the counters.
const PathMetrics = "/metrics"

func (d *Daemon) smallServer(path string, h http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: defaultReadHeader,
		IdleTimeout:       defaultIdle,
		ErrorLog:          zap.NewStdLog(d.log),
	}
}

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.board.Status.Load().Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (d *Daemon) provisionLeave() {
	d.leave = leave.New(leave.Options{
		Board:       d.board,
		InFlight:    func() int { return int(d.entry.InFlight()) },
		DrainPeriod: d.settings.Drain.Notice.Or(defaultNotice),
		Limit:       d.settings.Drain.Limit.Or(defaultLimit),
		Log:         d.log,
		Metrics:     d.metrics,
		Hooks:       []leave.Hook{{Stage: leave.Close, Name: "callers", Func: d.callers.Close}},
	})
}

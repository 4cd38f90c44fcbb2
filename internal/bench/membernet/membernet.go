// Package membernet benchmarks the steady-state cost of cluster membership. It
// runs many entry hosts in one process, each with its own peer node over loopback
// TCP, a shared cluster key, and the membership and targets controllers. Once all
// hosts see each other as live, it measures traffic and CPU time.
package membernet

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/membership"
	"github.com/cactusproxy/cactusproxy/controller/targets"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	pollInterval = 20 * time.Millisecond
	// settleTime is the time allowed for the initial burst of traffic to subside.
	settleTime = 2 * time.Second
	zones      = 3
)

// Report holds the cost per host while membership does not change.
type Report struct {
	Hosts    int
	Duration time.Duration
	// Converged is the time until every host saw all others as live and ready.
	Converged time.Duration
	// BytesPerSecond is the rate at which a host sends bytes, and on average
	// receives them: frames with their authentication tags, without TCP and IP
	// headers.
	BytesPerSecond float64
	// FramesPerSecond is the rate at which a host sends frames.
	FramesPerSecond float64
	// Connections is the number of connections that a host opened; about as many
	// are opened to it.
	Connections float64
	// CPUPercent is the CPU time of the process per host, in percent of one core.
	// It includes both sending and receiving.
	CPUPercent float64
}

// String returns the report as key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("hosts=%d duration=%v converged=%v bytes_per_s=%.0f frames_per_s=%.1f connections=%.1f cpu_percent=%.2f",
		r.Hosts, r.Duration, r.Converged.Round(time.Millisecond), r.BytesPerSecond, r.FramesPerSecond, r.Connections, r.CPUPercent)
}

// Run starts the hosts, waits until they have converged, and then measures for d.
func Run(ctx context.Context, hosts int, d time.Duration) (Report, error) {
	n, err := newNetwork(hosts)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, runCtx := errgroup.WithContext(ctx)
	start := time.Now()
	for i := range n.hosts {
		n.hosts[i].run(runCtx, g)
	}
	rep, err := n.measure(runCtx, start, d)
	cancel()
	return rep, errors.CombineErrors(err, g.Wait())
}

type host struct {
	node    *peer.Node
	board   *blackboard.Board
	set     *metrics.Set
	members *membership.Controller
	targets *targets.Controller
}

type network struct {
	hosts []*host
}

// newNetwork creates the hosts, their listeners and the host list they discover each
// other from.
func newNetwork(count int) (*network, error) {
	var lc net.ListenConfig
	list := store.New(store.Limits{})
	entries := make([]ports.Host, count)
	listeners := make([]net.Listener, count)
	for i := range entries {
		l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			closeAll(listeners[:i])
			return nil, errors.Wrap(err, "listen")
		}
		listeners[i] = l
		entries[i] = ports.Host{
			ID:       ports.HostID(fmt.Sprintf("entry-%03d", i)),
			Role:     ports.RoleEntry,
			State:    ports.HostLive,
			Zone:     fmt.Sprintf("zone-%d", i%zones),
			Addr:     l.Addr().String(),
			PeerAddr: l.Addr().String(),
		}
	}
	list.SetHosts(entries)
	n := &network{}
	for i, entry := range entries {
		n.hosts = append(n.hosts, newHost(entry, listeners[i], list.Hosts()))
	}
	return n, nil
}

func closeAll(ls []net.Listener) {
	for _, l := range ls {
		_ = l.Close()
	}
}

func newHost(entry ports.Host, l net.Listener, list ports.HostList) *host {
	h := &host{board: blackboard.New(), set: metrics.New()}
	incarnation := membership.NewIncarnation(time.Now())
	h.node = peer.NewNode(peer.Options{
		Self:        entry.ID,
		Incarnation: incarnation,
		Listener:    l,
		Key:         []byte("membernet shared key"),
		Metrics:     h.set,
	})
	h.targets = targets.New(targets.Options{Link: h.node, Board: h.board, Metrics: h.set})
	h.members = membership.New(membership.Options{
		Host:        entry,
		Incarnation: incarnation,
		Link:        h.node,
		Peers:       h.node,
		Board:       h.board,
		List:        list,
		OnList:      h.targets.ApplyList,
		Metrics:     h.set,
	})
	h.board.Status.Store(blackboard.Status{ConfigConfirmed: true})
	return h
}

func (h *host) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return h.node.Serve(ctx) })
	g.Go(func() error { return h.members.Run(ctx) })
	g.Go(func() error { return h.targets.Run(ctx) })
}

// converged reports whether each host sees all hosts as live and ready.
func (n *network) converged() bool {
	for _, h := range n.hosts {
		ready := 0
		for _, m := range h.board.Members.Load().Eligible() {
			if m.Ready {
				ready++
			}
		}
		if ready != len(n.hosts) {
			return false
		}
	}
	return true
}

func (n *network) measure(ctx context.Context, start time.Time, d time.Duration) (Report, error) {
	rep := Report{Hosts: len(n.hosts), Duration: d}
	for !n.converged() {
		if err := sleep(ctx, pollInterval); err != nil {
			return rep, errors.Wrap(err, "wait for hosts to converge")
		}
	}
	rep.Converged = time.Since(start)
	if err := sleep(ctx, settleTime); err != nil {
		return rep, err
	}
	before, err := n.takeSample()
	if err != nil {
		return rep, err
	}
	if err := sleep(ctx, d); err != nil {
		return rep, err
	}
	after, err := n.takeSample()
	if err != nil {
		return rep, err
	}
	hostSeconds := after.at.Sub(before.at).Seconds() * float64(len(n.hosts))
	rep.BytesPerSecond = float64(after.bytes-before.bytes) / hostSeconds
	rep.FramesPerSecond = float64(after.frames-before.frames) / hostSeconds
	rep.Connections = float64(after.connections) / float64(len(n.hosts))
	rep.CPUPercent = 100 * (after.cpu - before.cpu).Seconds() / hostSeconds
	return rep, nil
}

// sample holds the counters summed over all hosts at one point in time.
type sample struct {
	at            time.Time
	bytes, frames int64
	connections   int64
	cpu           time.Duration
}

func (n *network) takeSample() (sample, error) {
	r := sample{at: time.Now()}
	for _, h := range n.hosts {
		st := h.node.Stats()
		r.bytes += st.BytesSent
		r.frames += st.FramesSent
		r.connections += st.Connections
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return r, errors.Wrap(err, "read CPU time")
	}
	r.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return r, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

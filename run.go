package cactusproxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/ports"
)

// upkeepInterval is the time between two looks at what is not needed any more.
const upkeepInterval = 5 * time.Second

// ErrAborted is what Run returns after Abort.
var ErrAborted = errors.New("daemon aborted")

// Run serves until ctx ends, then stops without cutting off a call, and returns
// nil if every call in flight had its whole answer.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	work, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	g, work := errgroup.WithContext(work)
	d.start(work, g)
	d.log.Info("listening",
		zap.String("callers", d.CallersAddr()),
		zap.String("operators", d.OperatorsAddr()),
		zap.String("peers", d.PeersAddr()),
	)
	var stopped error
	select {
	case <-ctx.Done():
		stopped = d.stop(work)
	case <-d.leave.Requested():
		stopped = d.stop(work)
	case <-work.Done():
		// A part failed; what it returned ends Run.
	case <-d.aborted:
		stopped = ErrAborted
	}
	halt()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return stopped
}

// start runs all parts until work ends.
func (d *Daemon) start(work context.Context, g *errgroup.Group) {
	for _, part := range []func(context.Context) error{
		d.members.Run,
		d.targets.Run,
		d.config.Run,
		d.leave.Run,
		d.budget.Run,
		d.probes.Run,
		d.shareWrites,
		d.ledger.Run,
		d.quarantine.Run,
		d.upkeep,
	} {
		g.Go(func() error { return part(work) })
	}
	if d.node == nil {
		return
	}
	g.Go(func() error { return d.node.Serve(work) })
	g.Go(func() error { return serve(d.callers, d.listeners.callers) })
	g.Go(func() error { return serve(d.operators, d.listeners.operators) })
	g.Go(func() error {
		<-work.Done()
		_ = d.callers.Close()
		return d.operators.Close()
	})
}

// serve runs a server until it is shut down or closed.
func serve(s *http.Server, l net.Listener) error {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// upkeep forgets targets that are gone, and closes connections idle for long.
func (d *Daemon) upkeep(ctx context.Context) error {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.forgetTargets()
		}
	}
}

func (d *Daemon) forgetTargets() {
	listed := make(map[ports.HostID]bool)
	for _, list := range d.board.Targets.Load().ByService {
		for _, t := range list {
			listed[t.ID] = true
		}
	}
	known := func(id ports.HostID) bool { return listed[id] }
	d.pools.Retain(known)
	d.quarantine.KeepTargets(known)
}

// InFlight returns the number of calls that have not had their whole reply.
func (d *Daemon) InFlight() int64 { return d.entry.InFlight() }

// Apply commits an operator's change through this host, as its operators'
// listener does.
func (d *Daemon) Apply(ctx context.Context, req config.ApplyRequest) config.Outcome {
	return d.config.Apply(ctx, req)
}

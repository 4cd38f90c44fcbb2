package cactusproxy

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
)

// ErrAborted is what Run returns after Abort.
var ErrAborted = errors.New("daemon aborted")

// Run serves until ctx ends, then stops without cutting off a call, and returns
// nil if every call in flight had its whole answer.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	return daemon.Run(ctx, d.start, func(work context.Context) error { return d.await(ctx, work) })
}

// await returns once the daemon has stopped, or a part has failed.
func (d *Daemon) await(ctx, work context.Context) error {
	d.log.Info("listening",
		zap.String("callers", d.CallersAddr()),
		zap.String("operators", d.OperatorsAddr()),
		zap.String("peers", d.PeersAddr()),
	)
	select {
	case <-ctx.Done():
		return d.stop(work)
	case <-d.leave.Requested():
		return d.stop(work)
	case <-work.Done():
		return nil // what the part returned ends Run
	case <-d.aborted:
		return ErrAborted
	}
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
		d.picker.Run,
		d.shareWrites,
		d.ledger.Run,
		d.quarantine.Run,
		daemon.Upkeep{Board: d.board, Pools: d.pools, Quarantine: d.quarantine}.Run,
	} {
		g.Go(func() error { return part(work) })
	}
	if d.node == nil {
		return
	}
	g.Go(func() error { return d.node.Serve(work) })
	g.Go(d.callers.Serve)
	g.Go(func() error { return daemon.Serve(d.operators, d.listeners.operators) })
	g.Go(func() error {
		<-work.Done()
		_ = d.callers.Server.Close()
		return d.operators.Close()
	})
}

// InFlight returns the number of calls that have not had their whole reply.
func (d *Daemon) InFlight() int64 { return d.entry.InFlight() }

// Apply commits an operator's change through this host, as its operators'
// listener does.
func (d *Daemon) Apply(ctx context.Context, req config.ApplyRequest) config.Outcome {
	return d.config.Apply(ctx, req)
}

package cactusproxy

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
)

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("daemon aborted")

// Run serves until ctx ends, then stops gracefully. It returns nil if every request
// in flight received its complete response.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	return daemon.Run(ctx, d.start, func(work context.Context) error {
		return d.waitForStop(ctx, work)
	})
}

// waitForStop blocks until the daemon has stopped or a component has failed.
func (d *Daemon) waitForStop(ctx, work context.Context) error {
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
		return nil // Run returns the error of the failed component
	case <-d.aborted:
		return ErrAborted
	}
}

// start runs all components until work ends.
func (d *Daemon) start(work context.Context, g *errgroup.Group) {
	for _, part := range []func(context.Context) error{
		d.members.Run,
		d.targets.Run,
		d.config.Run,
		d.leave.Run,
		d.budget.Run,
		d.probes.Run,
		d.picker.Run,
		d.updateWriteRate,
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

// InFlight returns the number of requests whose response is not yet complete.
func (d *Daemon) InFlight() int64 { return d.entry.InFlight() }

// Apply commits a configuration change through this host, as a request to its
// operators' listener would.
func (d *Daemon) Apply(ctx context.Context, req config.ApplyRequest) config.Outcome {
	return d.config.Apply(ctx, req)
}

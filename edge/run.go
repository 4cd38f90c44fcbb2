package edge

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cactusproxy/cactusproxy/internal/daemon"
)

// Run serves until ctx ends, then stops without cutting off a call, and returns
// nil if every call in flight had its whole answer.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	return daemon.Run(ctx, d.start, func(work context.Context) error { return d.await(ctx, work) })
}

// await returns once the daemon has stopped, or a part has failed.
func (d *Daemon) await(ctx, work context.Context) error {
	d.log.Info("listening", zap.String("callers", d.CallersAddr()),
		zap.String("readiness", d.ReadinessAddr()), zap.String("peers", d.PeersAddr()))
	select {
	case <-ctx.Done():
		return d.stop(work)
	case <-work.Done():
		return nil // what the part returned ends Run
	}
}

// start runs all parts until work ends.
func (d *Daemon) start(work context.Context, g *errgroup.Group) {
	for _, part := range []func(context.Context) error{
		d.node.Serve,
		d.watch.Run,
		d.quota.Run,
		d.picker.Run,
		d.quarantine.Run,
		d.watchLimits,
		daemon.Upkeep{Board: d.board, Pools: d.pools, Quarantine: d.quarantine}.Run,
	} {
		g.Go(func() error { return part(work) })
	}
	g.Go(d.callers.Serve)
	g.Go(func() error {
		<-work.Done()
		return d.callers.Server.Close()
	})
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{
		{d.readiness, d.listeners.readiness},
		{d.operators, d.listeners.operators},
	} {
		g.Go(func() error { return daemon.Serve(s.server, s.listener) })
		g.Go(func() error {
			<-work.Done()
			return s.server.Close()
		})
	}
}

// stop leaves gracefully. The error says that calls were cut off.
func (d *Daemon) stop(ctx context.Context) error {
	report := d.leave.Stop(ctx)
	if report.Cut {
		return errors.Newf("stop cut off %d calls", report.Left)
	}
	return nil
}

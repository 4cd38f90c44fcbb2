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

// Run serves until ctx is done, then shuts down gracefully. It returns nil if every request in
// flight received its complete response.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	return daemon.Run(ctx, d.start, func(work context.Context) error { return d.waitAndStop(ctx, work) })
}

// waitAndStop blocks until the daemon has shut down or one of its components has failed.
func (d *Daemon) waitAndStop(ctx, work context.Context) error {
	d.log.Info("listening", zap.String("callers", d.CallersAddr()),
		zap.String("readiness", d.ReadinessAddr()), zap.String("peers", d.PeersAddr()))
	select {
	case <-ctx.Done():
		return d.stop(work)
	case <-work.Done():
		return nil // Run returns the error of the failed component
	}
}

// start runs all components in g until work is done.
func (d *Daemon) start(work context.Context, g *errgroup.Group) {
	for _, component := range []func(context.Context) error{
		d.node.Serve,
		d.watch.Run,
		d.quota.Run,
		d.picker.Run,
		d.admission.Run,
		d.quarantine.Run,
		d.watchLimits,
		daemon.Upkeep{Board: d.board, Pools: d.pools, Quarantine: d.quarantine}.Run,
	} {
		g.Go(func() error { return component(work) })
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

// stop shuts down gracefully. It returns an error if requests were cut off.
func (d *Daemon) stop(ctx context.Context) error {
	report := d.leave.Stop(ctx)
	if report.Cut {
		return errors.Newf("shutdown cut off %d requests in flight", report.CallsCut)
	}
	return nil
}

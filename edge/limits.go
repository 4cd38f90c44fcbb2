package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/routing"
)

// What the callers' listener takes if the settings say nothing. net/http fixes these when
// the server starts, before the operator's limits are known; they are far above the limits
// in use, 16 kB, 3 s and 15 s, so that no request within the limits is refused. Callers that
// exceed the limits are not held to them.
const (
	// defaultMaxHeader is in bytes. A header takes memory as it arrives: 256 callers that all
	// send the most hold 64 MB, a third of what the smallest hosts in use have.
	defaultMaxHeader = 256 << 10
	// defaultCallerHeader is for callers on slow links. One that trickles a header in holds
	// a connection, 16 kB, for as long.
	defaultCallerHeader = 15 * time.Second
	// defaultIdle is longer than callers keep connections idle: they close first,
	// and no request crosses with a close.
	defaultIdle = 2 * time.Minute
)

// watchLimits tells the operator of limits beyond what this host takes.
//
// Callers within such limits are answered by net/http alone, and nothing else says why.
func (d *Daemon) watchLimits(ctx context.Context) error {
	var seen routing.Limits
	return d.board.Routes.Watch(ctx, func(t *routing.Table) {
		if t == nil || t.Config.Limits == seen {
			return
		}
		seen = t.Config.Limits
		d.checkLimits(t.Config.Version, seen)
	})
}

func (d *Daemon) checkLimits(version uint64, l routing.Limits) {
	s := d.callers.Server
	if l.MaxHeaderBytes <= s.MaxHeaderBytes && l.HeaderTimeout <= s.ReadHeaderTimeout && l.IdleTimeout <= s.IdleTimeout {
		return
	}
	d.log.Error("limits beyond those of this host",
		zap.Uint64("version", version),
		zap.Int("header_bytes", l.MaxHeaderBytes), zap.Int("header_bytes_here", s.MaxHeaderBytes),
		zap.Duration("header_timeout", l.HeaderTimeout), zap.Duration("header_timeout_here", s.ReadHeaderTimeout),
		zap.Duration("idle_timeout", l.IdleTimeout), zap.Duration("idle_timeout_here", s.IdleTimeout))
}

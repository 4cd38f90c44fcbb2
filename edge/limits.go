package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/routing"
)

// Defaults of the listener for client traffic. net/http fixes these when the server starts,
// before the limits of the configuration are known. They are far above the limits in use
// (16 kB, 3 s and 15 s), so that no request within the configured limits is rejected. Requests
// between the configured limits and these are accepted.
const (
	// defaultMaxHeaderBytes is in bytes. Memory is allocated as the header arrives: 256
	// connections with headers of this size hold 64 MB, a third of the memory of the smallest
	// hosts in use.
	defaultMaxHeaderBytes = 256 << 10
	// defaultCallerHeaderTimeout allows for clients on slow links. A client that trickles in its
	// header occupies a connection (16 kB) for this long.
	defaultCallerHeaderTimeout = 15 * time.Second
	// defaultIdleTimeout is longer than clients keep idle connections open. The client then closes
	// first, and no request is lost to a connection that the server is closing.
	defaultIdleTimeout = 2 * time.Minute
)

// watchLimits logs an error when the configured limits exceed those of this host's HTTP server.
//
// net/http itself rejects requests between the two, and no other log line gives the reason.
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

// Package daemon holds what both kinds of entry hosts (cactusproxy.Daemon and
// edge.Daemon) share: running and stopping their components, serving and closing HTTP
// servers, and periodic cleanup.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/quarantine"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Serve serves a listener, with TLS if the server has a TLS configuration, until the
// server is shut down or closed.
func Serve(s *http.Server, l net.Listener) error {
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

// upkeepInterval is the interval of the cleanup.
const upkeepInterval = 5 * time.Second

// Upkeep periodically removes the connection pools and quarantine records of targets
// that are no longer listed, and closes connections that have been idle for too long.
type Upkeep struct {
	Board      *blackboard.Board
	Pools      *upstream.Pools
	Quarantine *quarantine.Quarantine
}

// Run cleans up periodically until ctx ends.
func (u Upkeep) Run(ctx context.Context) error {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			u.forgetTargets()
		}
	}
}

func (u Upkeep) forgetTargets() {
	listed := make(map[ports.HostID]bool)
	runs := make(map[ports.RunID]bool)
	for _, list := range u.Board.Targets.Load().ByService {
		for _, t := range list {
			listed[t.ID] = true
			runs[t.RunID()] = true
		}
	}
	u.Pools.Retain(func(id ports.HostID) bool { return listed[id] })
	u.Quarantine.RetainTargets(func(run ports.RunID) bool { return runs[run] })
}

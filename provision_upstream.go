package cactusproxy

import (
	"net"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/daemon"
	"github.com/cactusproxy/cactusproxy/relay"
	"github.com/cactusproxy/cactusproxy/upstream"
)

func (d *Daemon) provisionUpstream(o options) error {
	tlsConfig, err := d.settings.Targets.Client()
	if err != nil {
		return err
	}
	d.pools = upstream.New(upstream.Options{
		DialTimeout: d.settings.Targets.DialTimeout.Or(defaultDialTimeout),
		TLS:         tlsConfig,
		Source:      net.ParseIP(d.settings.Targets.SourceAddr),
		Dial:        o.dial,
		Relay:       d.relayClient(),
		OnPathLost:  d.retireStreams,
		MaxConns:    daemon.MaxTargetConns(d.settings),
		OnReached:   func(t blackboard.Target) { d.quarantine.TargetReached(t.RunID()) },
		Metrics:     d.metrics,
		Log:         d.log,
	})
	d.cleanup = append(d.cleanup, d.pools.Close)
	d.provisionRelay()
	return nil
}

// relayClient returns what reaches targets through other hosts, or nil if the link was supplied
// by WithLink, which has no streams.
func (d *Daemon) relayClient() upstream.Relay {
	if d.node == nil {
		return nil
	}
	return relay.NewClient(relay.ClientDeps{
		Board:   d.board,
		Streams: d.node,
		Self:    d.id(),
		Zone:    d.settings.Host.Zone,
		Seed:    d.incarnation,
		Metrics: d.metrics,
	})
}

// retireStreams notifies the hosts that reach a target through this one that its path is lost.
func (d *Daemon) retireStreams(t blackboard.Target) {
	if d.relay != nil {
		d.relay.PathLost(t)
	}
}

func (d *Daemon) provisionRelay() {
	if d.node == nil {
		return
	}
	d.relay = relay.NewServer(relay.ServerDeps{
		Board:   d.board,
		Streams: d.node,
		Dial:    d.pools.DialOwn,
		Metrics: d.metrics,
		Log:     d.log,
	})
}

package cactusproxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/controller/leave"
)

// defaultDrainLimit bounds a graceful stop if the settings give no limit.
const defaultDrainLimit = 10 * time.Minute

func (d *Daemon) provisionLeave() {
	d.leave = leave.New(leave.Options{
		Board:       d.board,
		InFlight:    d.inFlight,
		DrainPeriod: d.settings.Drain.Notice.Or(leave.DefaultDrainPeriod),
		Limit:       d.settings.Drain.Limit.Or(defaultDrainLimit),
		Log:         d.log,
		Metrics:     d.metrics,
		Hooks: []leave.Hook{
			{Stage: leave.Announce, Name: "relay", Func: d.drainRelay},
			{Stage: leave.Close, Name: "callers", Func: d.callers.Close},
			{Stage: leave.Release, Name: "claims", Func: d.releaseClaims},
		},
	})
}

// inFlight returns the number of requests of callers and of connections carried for other hosts.
func (d *Daemon) inFlight() int {
	n := int(d.entry.InFlight())
	if d.relay != nil {
		n += d.relay.Active()
	}
	return n
}

func (d *Daemon) drainRelay(ctx context.Context) error {
	if d.relay == nil {
		return nil
	}
	return d.relay.Drain(ctx)
}

// stop shuts the daemon down gracefully. It returns an error if requests in flight
// were cut off.
func (d *Daemon) stop(ctx context.Context) error {
	report := d.leave.Stop(ctx)
	if report.Cut {
		return errors.Newf("graceful stop cut off %d requests in flight", report.CallsCut)
	}
	return nil
}

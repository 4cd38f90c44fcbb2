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
		InFlight:    func() int { return int(d.entry.InFlight()) },
		DrainPeriod: d.settings.Drain.Notice.Or(leave.DefaultDrainPeriod),
		Limit:       d.settings.Drain.Limit.Or(defaultDrainLimit),
		Log:         d.log,
		Metrics:     d.metrics,
		Hooks: []leave.Hook{
			{Stage: leave.Close, Name: "callers", Func: d.callers.Close},
			{Stage: leave.Release, Name: "claims", Func: d.releaseClaims},
		},
	})
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

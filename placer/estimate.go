package placer

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/placement"
)

// estimate is what a call is expected to meet at a target.
type estimate struct {
	// work is the duration of the call in units of the service's usual work time.
	work float64
	// worthwhile reports whether to send the call there at all, noSlot whether no slot is free for it.
	worthwhile, noSlot bool
}

// estimate returns what a call is expected to meet at a target. The caller holds the lock.
func (s *service) estimate(ctx context.Context, now time.Time, req pick.Request, t *target) (e estimate) {
	e.work = t.figures.ExpectedTime(now)
	latency := time.Duration(e.work * float64(s.workTime))
	e.worthwhile = req.Objective == 0 || placement.Worthwhile(&t.figures, now, latency, req.Arrived.Add(req.Objective).Sub(now))
	if at, ok := ctx.Deadline(); ok && latency > at.Sub(now) {
		e.worthwhile = false
	}
	e.noSlot = t.figures.WouldQueue(now)
	if req.Spare {
		e.noSlot = t.figures.FreeSlots(now) < slotsNeeded(req, t)
		e.worthwhile = e.worthwhile && !e.noSlot
	}
	return e
}

// worthwhile returns the targets of a list that reported their load and that a call should be sent to.
// The caller holds the lock.
//
// The cheapest target may have no slot free while one in another zone, which costs more for the bytes
// that it takes there, is idle.
func (s *service) worthwhile(ctx context.Context, now time.Time, req pick.Request, list []ranked) (out []ranked) {
	for _, r := range list {
		if r.loadKnown(now) && s.estimate(ctx, now, req, r.target).worthwhile {
			out = append(out, r)
		}
	}
	return out
}

// slotsNeeded returns how many slots of a target must be free for a spare call to be sent there. A
// target with a single slot can't keep another one free.
func slotsNeeded(req pick.Request, t *target) float64 {
	if req.LeaveSlot && t.figures.Slots > 1 {
		return 2
	}
	return 1
}

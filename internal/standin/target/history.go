package target

import (
	"slices"
	"time"
)

// historySize bounds the reports that are kept for lagging reports.
const historySize = 4096

// report is the target's state from a point in time until the next report.
type report struct {
	at      time.Time
	load    int
	leaving bool
}

// history holds past reports in chronological order.
type history struct {
	reports []report
}

func (h *history) add(r report) {
	if len(h.reports) == historySize {
		h.reports = slices.Delete(h.reports, 0, historySize/2)
	}
	h.reports = append(h.reports, r)
}

// at returns the report in effect at the given time, or an idle one if that is before the first
// report.
func (h *history) at(at time.Time) report {
	for _, r := range slices.Backward(h.reports) {
		if !r.at.After(at) {
			return r
		}
	}
	return report{at: at}
}

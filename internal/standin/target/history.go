package target

import (
	"slices"
	"time"
)

// historySize bounds the reports that are kept for a lagging endpoint.
const historySize = 4096

// report is what the target could have said of itself from a moment on.
type report struct {
	at      time.Time
	load    int
	leaving bool
}

// history holds past reports in order of time.
type history struct {
	reports []report
}

func (h *history) add(r report) {
	if len(h.reports) == historySize {
		h.reports = slices.Delete(h.reports, 0, historySize/2)
	}
	h.reports = append(h.reports, r)
}

// before returns the report that held at the moment, or an idle one if that is
// before the first.
func (h *history) before(at time.Time) report {
	for _, r := range slices.Backward(h.reports) {
		if !r.at.After(at) {
			return r
		}
	}
	return report{at: at}
}

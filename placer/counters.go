package placer

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are those of the metrics maps "placer" and "placer_refused".
type counters struct {
	asks, asksFailed, asksRefused, waits, ejected *expvar.Int
	// late counts ends of calls to targets that are no longer listed, or have started anew.
	late *expvar.Int
	// refused counts by reason.
	refused *expvar.Map
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("placer")
	return counters{
		asks:        c("questions"),
		asksFailed:  c("questions_failed"),
		asksRefused: c("questions_over_share"),
		waits:       c("waits"),
		ejected:     c("ejected"),
		late:        c("late_ends"),
		refused:     m.Map("placer_refused"),
	}
}

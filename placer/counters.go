package placer

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are those of the metrics maps "placer" and "placer_refused".
type counters struct {
	probes, probesFailed, probesRefused, waits, ejected *expvar.Int
	// late counts ends of calls to targets that are no longer listed, or have started anew.
	late *expvar.Int
	// evacuated counts choices made while a zone of the service's targets is evacuated,
	// coldCalls calls sent to cold targets, coldSpent choices for which cold targets were left
	// out since this host's part of their calls was used up.
	evacuated, coldCalls, coldSpent *expvar.Int
	// refused counts by reason.
	refused *expvar.Map
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("placer")
	return counters{
		probes:        c("probes"),
		probesFailed:  c("probes_failed"),
		probesRefused: c("probes_over_quota"),
		waits:         c("waits"),
		ejected:       c("ejected"),
		late:          c("late_ends"),
		evacuated:     c("choices_without_zone"),
		coldCalls:     c("cold_calls"),
		coldSpent:     c("cold_quota_spent"),
		refused:       m.Map("placer_refused"),
	}
}

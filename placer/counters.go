package placer

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are the metrics in the maps "placer" and "placer_refused".
type counters struct {
	probes, probesFailed, probesRefused, waits, ejected *expvar.Int
	// lateResults counts results of attempts at targets that were delisted or restarted
	// meanwhile.
	lateResults *expvar.Int
	// evacuated counts choices made while a zone with targets of the service is evacuated,
	// coldCalls calls sent to cold targets, coldOverQuota choices that skipped cold targets
	// because this host's quota for them was used up.
	evacuated, coldCalls, coldOverQuota *expvar.Int
	// reportWaits counts waits for late reports on whether a target is cold, linesDropped log lines
	// beyond the limit.
	reportWaits, linesDropped *expvar.Int
	// coldCallsBy counts coldCalls by why the target was considered cold, refused counts refused
	// calls by reason, probeFailures failed probes by cause.
	coldCallsBy, refused, probeFailures *expvar.Map
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("placer")
	return counters{
		probes:        c("probes"),
		probesFailed:  c("probes_failed"),
		probesRefused: c("probes_over_quota"),
		waits:         c("waits"),
		ejected:       c("ejected"),
		lateResults:   c("late_ends"),
		evacuated:     c("choices_without_zone"),
		coldCalls:     c("cold_calls"),
		coldOverQuota: c("cold_quota_spent"),
		reportWaits:   c("cold_report_waits"),
		linesDropped:  c("lines_dropped"),
		coldCallsBy:   m.Map("placer_cold_calls"),
		refused:       m.Map("placer_refused"),

		probeFailures: m.Map("probe_failures"),
	}
}

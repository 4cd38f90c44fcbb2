package watch

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are those of the metrics map "watch".
type counters struct {
	calls, failed, beats, steps, syncs, dropped, takeovers *expvar.Int
	// repeats counts large changes that were not passed on since they brought nothing new.
	repeats *expvar.Int
	// lateWords counts words of earlier runs of targets that were held back.
	lateWords *expvar.Int
	// refusedConfigs counts configurations that other hosts told and that were not taken in.
	refusedConfigs *expvar.Int
	// copies counts how often the record came back from an older copy.
	copies *expvar.Int
	// linesDropped counts lines about targets that were left out to bound the volume.
	linesDropped *expvar.Int
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("watch")
	return counters{
		calls:     c("store_calls"),
		failed:    c("store_calls_failed"),
		beats:     c("beats_received"),
		steps:     c("changes_received"),
		syncs:     c("syncs"),
		dropped:   c("notifications_dropped"),
		takeovers: c("takeovers"),
		repeats:   c("repeats_not_passed_on"),
		lateWords: c("late_words"),

		refusedConfigs: c("configs_refused"),
		copies:         c("older_copies"),
		linesDropped:   c("target_lines_dropped"),
	}
}

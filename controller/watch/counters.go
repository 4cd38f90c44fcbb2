package watch

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are the metrics of the map "watch".
type counters struct {
	calls, failed, heartbeats, changes, syncs, dropped, takeovers *expvar.Int
	// failedSyncs counts the requests for missing state that got no reply in time.
	failedSyncs *expvar.Int
	// lateHeartbeats counts heartbeats that were in transit for longer than lateHeartbeat, gaps how
	// often this host was known to lack something and got it.
	lateHeartbeats, gaps *expvar.Int
	// directReads counts the reads of the store by this host while it did not watch it, directReadsFailed
	// those that the store did not serve in full.
	directReads, directReadsFailed *expvar.Int
	// refreshes counts how often this host asked others because its replica was too old to route
	// calls, refreshesFailed how often that did not bring it up to date.
	refreshes, refreshesFailed *expvar.Int
	// snapshots counts the snapshots encoded for hosts without state, snapshotBytes is the size
	// of the last one.
	snapshots, snapshotBytes *expvar.Int
	// differencesRefused counts requests for missing state that waited in vain for others to be served.
	differencesRefused *expvar.Int
	// duplicateRelays counts large changes that were not forwarded because they contained
	// nothing new.
	duplicateRelays *expvar.Int
	// staleEntries counts entries from earlier incarnations of targets that were held back.
	staleEntries *expvar.Int
	// refusedConfigs counts configurations received from other hosts that were rejected.
	refusedConfigs *expvar.Int
	// restores counts how often the store was restored from an older copy.
	restores *expvar.Int
	// outages counts how often this host learned that the store had been out long enough for
	// targets' entries to expire.
	outages *expvar.Int
	// linesDropped counts log lines about targets that the rate limit suppressed.
	linesDropped *expvar.Int
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("watch")
	return counters{
		calls:             c("store_calls"),
		failed:            c("store_calls_failed"),
		heartbeats:        c("beats_received"),
		changes:           c("changes_received"),
		syncs:             c("syncs"),
		failedSyncs:       c("syncs_failed"),
		lateHeartbeats:    c("late_heartbeats"),
		gaps:              c("caught_up"),
		directReads:       c("direct_reads"),
		directReadsFailed: c("direct_reads_failed"),
		refreshes:         c("refreshes"),
		refreshesFailed:   c("refreshes_failed"),
		snapshots:         c("snapshots"),
		snapshotBytes:     c("snapshot_bytes"),

		differencesRefused: c("differences_refused"),

		dropped:         c("notifications_dropped"),
		takeovers:       c("takeovers"),
		duplicateRelays: c("repeats_not_passed_on"),
		staleEntries:    c("late_words"),

		refusedConfigs: c("configs_refused"),
		restores:       c("older_copies"),
		outages:        c("outages"),
		linesDropped:   c("target_lines_dropped"),
	}
}

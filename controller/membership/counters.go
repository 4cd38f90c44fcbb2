package membership

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters holds the metrics of one controller, exported as the map "membership".
type counters struct {
	heartbeats, gossips, dropped *expvar.Int
	probes, suspected            *expvar.Int
	refuted, contested           *expvar.Int
	syncFailed, syncDiffers      *expvar.Int
	resumed                      *expvar.Int
	listFailed, listOld          *expvar.Int
}

func newCounters(set *metrics.Set) counters {
	add := set.Counters("membership")
	return counters{
		heartbeats:  add("heartbeats_sent"),
		gossips:     add("gossip_sent"),
		dropped:     add("messages_dropped"),
		probes:      add("probes"),
		suspected:   add("suspected"),
		refuted:     add("suspicion_refuted"),
		contested:   add("suspicion_contested"),
		syncFailed:  add("sync_failed"),
		syncDiffers: add("sync_differed"),
		resumed:     add("woke_from_pause"),
		listFailed:  add("list_failed"),
		listOld:     add("list_older"),
	}
}

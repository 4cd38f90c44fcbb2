package membership

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters of one controller, served as the map "membership".
type counters struct {
	beats, gossips, dropped *expvar.Int
	probes, suspected       *expvar.Int
	refuted, contested      *expvar.Int
	syncFailed, syncDiffers *expvar.Int
	woke                    *expvar.Int
	listFailed, listOld     *expvar.Int
}

func newCounters(set *metrics.Set) counters {
	add := set.Counters("membership")
	return counters{
		beats:       add("heartbeats_sent"),
		gossips:     add("gossip_sent"),
		dropped:     add("messages_dropped"),
		probes:      add("probes"),
		suspected:   add("suspected"),
		refuted:     add("suspicion_refuted"),
		contested:   add("suspicion_contested"),
		syncFailed:  add("sync_failed"),
		syncDiffers: add("sync_differed"),
		woke:        add("woke_from_pause"),
		listFailed:  add("list_failed"),
		listOld:     add("list_older"),
	}
}

package quota

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are those of the metrics map "quota" for tenants, otherwise of the map with
// the subject's name as a prefix.
type counters struct {
	// granted, denied and unknown count the decisions on requests that this host received
	// from its callers.
	granted, denied, unknown *expvar.Int
	// startWaits counts the requests that waited for hosts that were starting.
	startWaits *expvar.Int
	// returned counts the grants of requests that didn't run.
	returned *expvar.Int
	// owned counts the requests that this host decided as an owner, followed those of
	// them that it decided in place of a higher-ranked owner, and borrowings the requests
	// for tokens to other zones.
	owned, followed, borrowings *expvar.Int
}

func newCounters(m *metrics.Set, subject string) counters {
	name := "quota"
	if subject != SubjectTenant {
		name = subject + "_quota"
	}
	c := m.Counters(name)
	return counters{
		granted:    c("granted"),
		denied:     c("denied"),
		unknown:    c("unknown"),
		startWaits: c("start_waits"),
		returned:   c("returned"),
		owned:      c("owned"),
		followed:   c("followed"),
		borrowings: c("borrowings"),
	}
}

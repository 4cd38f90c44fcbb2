package quota

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are those of the metrics map "quota" for tenants, else of one with the subject's name
// before it.
type counters struct {
	// granted, denied and unknown count the requests of callers of this host.
	granted, denied, unknown *expvar.Int
	// returned counts those that were granted and did not run.
	returned *expvar.Int
	// owned counts the requests that this host decided on as an owner, followed those of
	// them in place of another host, borrowings the exchanges with other zones.
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
		returned:   c("returned"),
		owned:      c("owned"),
		followed:   c("followed"),
		borrowings: c("borrowings"),
	}
}

package quota

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

type counters struct {
	// granted, denied and unknown count the requests of callers of this host.
	granted, denied, unknown *expvar.Int
	// returned counts those that were granted and did not run.
	returned *expvar.Int
	// owned counts the requests that this host decided on as an owner, followed those of
	// them in place of another host, borrowings the exchanges with other zones.
	owned, followed, borrowings *expvar.Int
}

func newCounters(m *metrics.Set) counters {
	return counters{
		granted:    m.Int("quota_granted"),
		denied:     m.Int("quota_denied"),
		unknown:    m.Int("quota_unknown"),
		returned:   m.Int("quota_returned"),
		owned:      m.Int("quota_owned"),
		followed:   m.Int("quota_followed"),
		borrowings: m.Int("quota_borrowings"),
	}
}

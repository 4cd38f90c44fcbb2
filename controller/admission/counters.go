package admission

import (
	"expvar"
	"strconv"

	"github.com/cactusproxy/cactusproxy/metrics"
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
)

// counters are the metrics in the maps "admission" and "admission_refused".
type counters struct {
	// noRoom counts admitted calls that found no room while their service was limited.
	noRoom *expvar.Int
	// reports and reportsFailed count this host's reports, owned those it got as an owner, and
	// limited the periods in which a service that it owns was limited.
	reports, reportsFailed, owned, limited *expvar.Int
	// refused counts calls refused at once, by rank.
	refused *expvar.Map
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("admission")
	return counters{
		noRoom:        c("no_room"),
		reports:       c("reports"),
		reportsFailed: c("reports_failed"),
		owned:         c("owned"),
		limited:       c("limited_periods"),
		refused:       m.Map("admission_refused"),
	}
}

func (c *counters) refuse(priority int) {
	c.refused.Add("rank-"+strconv.Itoa(policy.NewKey(priority, "").Rank), 1)
}

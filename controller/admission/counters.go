package admission

import (
	"expvar"
	"strconv"

	"github.com/cactusproxy/cactusproxy/metrics"
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
)

// counters are the metrics in the maps "admission" and "admission_refused".
type counters struct {
	// reports and reportsFailed count this host's reports, owned those it got as an owner, and
	// limited the periods in which a service that it owns was limited.
	reports, reportsFailed, owned, limited *expvar.Int
	// refused counts calls refused while their service was limited, by rank and cause.
	refused *expvar.Map
}

func newCounters(m *metrics.Set) counters {
	c := m.Counters("admission")
	return counters{
		reports:       c("reports"),
		reportsFailed: c("reports_failed"),
		owned:         c("owned"),
		limited:       c("limited_periods"),
		refused:       m.Map("admission_refused"),
	}
}

// noRoom is the cause of refusals of calls that were admitted and found no room.
const noRoom policy.Cause = "no-room"

func (c *counters) refuse(priority int, cause policy.Cause) {
	c.refused.Add("rank-"+strconv.Itoa(policy.NewKey(priority, "").Rank)+"/"+string(cause), 1)
}

package slots

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are the metrics of choosing targets.
type counters struct {
	coordinated *expvar.Int // grants by a coordinator
	local       *expvar.Int // grants by this host's own choice
	refused     *expvar.Map // picks refused, by reason
	fallbacks   *expvar.Int // times this host stopped waiting for a coordinator
	overdue     *expvar.Int // overdue attempts told to all hosts
	ejected     *expvar.Int // ejections by this host as coordinator
	dropped     *expvar.Int // messages the peer link did not take
}

func newCounters(m *metrics.Set) counters {
	return counters{
		coordinated: m.Int("slots_granted_coordinated"),
		local:       m.Int("slots_granted_local"),
		refused:     m.Map("slots_refused"),
		fallbacks:   m.Int("slots_fallbacks"),
		overdue:     m.Int("slots_overdue_notices"),
		ejected:     m.Int("slots_ejections"),
		dropped:     m.Int("slots_messages_dropped"),
	}
}

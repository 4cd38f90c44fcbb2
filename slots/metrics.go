package slots

import (
	"expvar"
	"time"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters are the metrics of this package.
type counters struct {
	coordinated *expvar.Int // grants by a coordinator
	local       *expvar.Int // grants by this host's own choice
	refused     *expvar.Map // picks refused, by reason
	fallbacks   *expvar.Int // switches from a coordinator to this host's own choice
	overdue     *expvar.Int // targets with overdue attempts announced to all hosts
	ejected     *expvar.Int // ejections by this host as coordinator
	dropped     *expvar.Int // messages that the peer link did not accept
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

// ServiceState is the state of one service on this host, as shown in the metrics.
type ServiceState struct {
	// Coordinated is false while this host chooses targets on its own.
	Coordinated bool `json:"coordinated"`
	// InFlight and Queued are the attempts and waiting calls known to this host's coordinator
	// state. They cover all hosts if this host is the coordinator.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Ejected  int `json:"ejected"`
	// ExpectedWait is how long a call arriving now would wait for a slot.
	ExpectedWait time.Duration `json:"expected_wait_ns"`
}

func (s *Picker) state() any {
	out := make(map[string]ServiceState)
	now := time.Now()
	for key, svc := range *s.services.Load() {
		out[key.String()] = svc.state(now)
	}
	return out
}

func (v *service) state(now time.Time) ServiceState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return ServiceState{
		Coordinated:  v.session.Coordinated(),
		InFlight:     v.coordinator.InFlight(),
		Queued:       v.coordinator.Queued(),
		Ejected:      v.coordinator.CountEjected(now),
		ExpectedWait: v.coordinator.ExpectedWait(),
	}
}

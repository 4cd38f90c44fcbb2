package cactusproxy

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/probes"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/slots"
)

// probeSource is the probes.Source that takes its candidates from the coordinator
// of slots.
type probeSource struct{ slots *slots.Picker }

var _ probes.Source = probeSource{}

// Stale implements probes.Source.
func (p probeSource) Stale(now time.Time) []probes.Candidate {
	stale := p.slots.Stale(now)
	out := make([]probes.Candidate, len(stale))
	for i, s := range stale {
		out[i] = probes.Candidate{Service: s.Service, Target: s.Target}
	}
	return out
}

// Probed implements probes.Source. It ignores the latency of the probe, which does
// not predict that of requests.
func (p probeSource) Probed(key blackboard.ServiceKey, id ports.HostID, ok bool, load int, _ time.Duration) {
	p.slots.RecordProbe(key, id, ok, load)
}

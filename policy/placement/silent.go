package placement

import (
	"time"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// typicalQuantile is the quantile that the typical probe time approximates: most targets are
	// healthy most of the time, and the others take longer.
	typicalQuantile = 0.4
	// typicalStep is the relative change that one response makes to the typical time: 20
	// responses in the same direction double or halve it.
	typicalStep = 0.05
	// minTypical is the lower bound of the typical time, so that coarse clocks and very close
	// targets do not make every delay look extreme.
	minTypical = 500 * time.Microsecond
)

// ProbeTimes estimates how long targets that report no load typically take to respond to a probe.
// The zero value has no estimate.
type ProbeTimes struct{ typical time.Duration }

// Observe adds the time that a response took, or that was spent waiting for one that did not
// come.
func (p *ProbeTimes) Observe(took time.Duration) {
	switch {
	case p.typical == 0:
		p.typical = took
	case took < p.typical:
		p.typical -= time.Duration(typicalStep * (1 - typicalQuantile) * float64(p.typical))
	default:
		p.typical += time.Duration(typicalStep * typicalQuantile * float64(p.typical))
	}
	p.typical = max(p.typical, minTypical)
}

// Typical returns the typical time, 0 before the first response.
func (p *ProbeTimes) Typical() time.Duration { return p.typical }

// ObserveProbe records that a target that reports no load responded to a probe, and returns the
// load inferred from that.
//
// A probe waits for a slot there and takes as much longer than usual as the target is slower, so
// its duration shows that a slot was free, and the slowdown. The slowdown is not derived from
// calls, whose service times differ from one to the next.
func (f *TargetState) ObserveProbe(now time.Time, took, typical time.Duration) targetapi.Load {
	l := targetapi.Load{Running: f.InFlight, Slowdown: max(1, float64(took)/float64(max(typical, minTypical)))}
	f.ObserveLoad(now, l)
	return l
}

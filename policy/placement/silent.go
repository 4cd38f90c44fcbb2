package placement

import (
	"time"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// usualShare is the share of answers to probes that come sooner than the usual
	// time: most targets are well most of the time, and those that are not take longer.
	usualShare = 0.4
	// usualStep is by how much one answer moves the usual time: 20 answers of one kind
	// double or halve it.
	usualStep = 0.05
	// leastUsual bounds the usual time from below, so that clocks of a coarse step and
	// targets next door do not make each wait look endless.
	leastUsual = 500 * time.Microsecond
)

// ProbeTimes learns how long targets that tell nothing of their load usually take to answer
// a probe. The zero value knows nothing.
type ProbeTimes struct{ usual time.Duration }

// Observe takes in how long an answer took, or how long one that did not come was waited for.
func (q *ProbeTimes) Observe(took time.Duration) {
	switch {
	case q.usual == 0:
		q.usual = took
	case took < q.usual:
		q.usual -= time.Duration(usualStep * (1 - usualShare) * float64(q.usual))
	default:
		q.usual += time.Duration(usualStep * usualShare * float64(q.usual))
	}
	q.usual = max(q.usual, leastUsual)
}

// Typical returns the usual time, 0 if no answer came yet.
func (q *ProbeTimes) Typical() time.Duration { return q.usual }

// ObserveProbe takes in that a target which tells nothing of its load answered a probe.
//
// It answers services whose targets are silent. A probe waits for a slot there and takes
// as much longer than usual as the target is slower, so that its time says what the load
// would: that a slot was free, and the pace. The pace is not learned from calls, whose work
// differs from one to the next.
func (f *TargetState) ObserveProbe(now time.Time, took, usual time.Duration) targetapi.Load {
	l := targetapi.Load{Running: f.InFlight, Pace: max(1, float64(took)/float64(max(usual, leastUsual)))}
	f.ObserveLoad(now, l)
	return l
}

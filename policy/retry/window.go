package retry

import "time"

// Window bounds the further attempts of one service in every span of time of a
// given length, as a share of its calls in that span and a constant part. Many
// hosts that each keep to their part of both keep to the whole together without
// a word between them. It is not safe for concurrent use.
type Window struct {
	limits WindowLimits
	calls  ring
	spent  ring
}

// WindowLimits are the parts of one host.
type WindowLimits struct {
	// Ratio is the share of calls that may be attempted once more, 0 to 1.
	Ratio float64
	// Reserve is how many more attempts may be made whatever the calls.
	Reserve float64
	// Span is the length of the window.
	Span time.Duration
}

// windowSteps is how many steps a span is counted in. One more is kept for
// attempts than for calls, since the oldest step is partly outside the span:
// both counts then err on the side of fewer attempts.
const windowSteps = 20

// NewWindow returns a window without calls.
func NewWindow(l WindowLimits) *Window {
	step := l.Span / windowSteps
	return &Window{
		limits: l,
		calls:  ring{step: step, counts: make([]int, windowSteps-1)},
		spent:  ring{step: step, counts: make([]int, windowSteps+1)},
	}
}

// SetReserve changes the constant part, as hosts come and go.
func (w *Window) SetReserve(n float64) { w.limits.Reserve = n }

// RecordCall notes a call.
func (w *Window) RecordCall(now time.Time) { w.calls.add(now) }

// Take pays for one further attempt and reports whether the window had it.
func (w *Window) Take(now time.Time) bool { return w.TakeWithin(now, 1) }

// TakeWithin is Take as long as no more than a part of the window, 0 to 1, is used up.
func (w *Window) TakeWithin(now time.Time, part float64) bool {
	allowed := w.limits.Ratio*float64(w.calls.sum(now)) + w.limits.Reserve
	if float64(w.spent.sum(now)+1) > part*allowed {
		return false
	}
	w.spent.add(now)
	return true
}

// ring counts events by steps of time.
type ring struct {
	step   time.Duration
	counts []int
	total  int
	// last is the number of the newest step.
	last int64
}

func (r *ring) add(now time.Time) {
	r.advance(now)
	r.counts[r.last%int64(len(r.counts))]++
	r.total++
}

func (r *ring) sum(now time.Time) int {
	r.advance(now)
	return r.total
}

// advance drops the steps that are too old.
func (r *ring) advance(now time.Time) {
	at := now.UnixNano() / int64(r.step)
	n := int64(len(r.counts))
	for i := max(r.last+1, at-n+1); i <= at; i++ {
		r.total -= r.counts[i%n]
		r.counts[i%n] = 0
	}
	r.last = max(r.last, at)
}

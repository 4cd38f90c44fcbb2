package retry

import "time"

// Window limits the retries of one service within any span of a given length to a fraction of its
// calls in that span plus a constant. Many hosts that each stay within their share of both stay
// within the whole together, without communication. It is not safe for concurrent use.
type Window struct {
	limits  WindowLimits
	calls   counter
	retries counter
}

// WindowLimits are the limits of one host.
type WindowLimits struct {
	// Ratio is the fraction of calls that may be retried, 0 to 1.
	Ratio float64
	// Reserve is the number of retries that may be made whatever the number of calls.
	Reserve float64
	// Span is the length of the window.
	Span time.Duration
}

// windowSteps is the number of steps in a span. Retries are counted over one step more than that
// and calls over one less, since the oldest step lies partly outside the span: both counts then
// err toward fewer retries.
const windowSteps = 20

// NewWindow returns a window without calls.
func NewWindow(l WindowLimits) *Window {
	step := l.Span / windowSteps
	return &Window{
		limits:  l,
		calls:   counter{step: step, counts: make([]int, windowSteps-1)},
		retries: counter{step: step, counts: make([]int, windowSteps+1)},
	}
}

// SetReserve changes Reserve, as when the number of hosts changes.
func (w *Window) SetReserve(n float64) { w.limits.Reserve = n }

// RecordCall records a call.
func (w *Window) RecordCall(now time.Time) { w.calls.add(now) }

// Take spends one retry and reports whether the window allowed it.
func (w *Window) Take(now time.Time) bool { return w.TakeWithin(now, 1) }

// TakeWithin is like Take, but only as long as no more than a fraction of the window's allowance,
// 0 to 1, is spent.
func (w *Window) TakeWithin(now time.Time, fraction float64) bool {
	allowed := w.limits.Ratio*float64(w.calls.sum(now)) + w.limits.Reserve
	if float64(w.retries.sum(now)+1) > fraction*allowed {
		return false
	}
	w.retries.add(now)
	return true
}

// counter counts events in a sliding window of steps.
type counter struct {
	step   time.Duration
	counts []int
	total  int
	// last is the number of the newest step.
	last int64
}

func (r *counter) add(now time.Time) {
	r.advance(now)
	r.counts[r.last%int64(len(r.counts))]++
	r.total++
}

func (r *counter) sum(now time.Time) int {
	r.advance(now)
	return r.total
}

// advance drops expired steps.
func (r *counter) advance(now time.Time) {
	at := now.UnixNano() / int64(r.step)
	n := int64(len(r.counts))
	for i := max(r.last+1, at-n+1); i <= at; i++ {
		r.total -= r.counts[i%n]
		r.counts[i%n] = 0
	}
	r.last = max(r.last, at)
}

package edge

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/policy/retry"
	"github.com/cactusproxy/cactusproxy/settings"
)

// retriesUsed is the part of the budget for further attempts that hosts use
// together: the rest is for hosts that do not know of each other yet.
const retriesUsed = 0.8

// retries is this host's part of the budget for further attempts: its own calls'
// share, and an even part of the reserve.
type retries struct {
	set     settings.Retries
	board   *blackboard.Board
	started time.Time

	mu      sync.Mutex
	windows map[blackboard.ServiceKey]*retry.Window
}

var _ dispatch.RetryBudget = (*retries)(nil)

func newRetries(s settings.Retries, b *blackboard.Board) *retries {
	return &retries{set: s, board: b, started: time.Now(), windows: make(map[blackboard.ServiceKey]*retry.Window)}
}

// Call implements dispatch.RetryBudget.
func (r *retries) Call(key blackboard.ServiceKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(key).RecordCall(now)
}

// Take implements dispatch.RetryBudget.
func (r *retries) Take(key blackboard.ServiceKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(key)
	w.SetReserve(r.reserve(now))
	return w.Take(now)
}

// secondsPart is the part of the budget that second attempts may use up: what is left is
// for requests that were refused or failed, which have no answer otherwise.
const secondsPart = 0.8

// TakeSecond implements dispatch.RetryBudget.
func (r *retries) TakeSecond(key blackboard.ServiceKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(key)
	w.SetReserve(r.reserve(now))
	return w.TakeWithin(now, secondsPart)
}

// firstReserve is the share of its part of the reserve that a host begins with.
const firstReserve = 0.25

// reserve is this host's even part of the reserve. It grows to the whole over the
// first window.
//
// A host that has just started may know only the seeds, and would take far more than its part.
func (r *retries) reserve(now time.Time) float64 {
	hosts := max(1, len(r.board.Members.Load().Members))
	grown := min(1, max(firstReserve, float64(now.Sub(r.started))/float64(r.span())))
	return grown * retriesUsed * r.set.Reserve / float64(hosts)
}

func (r *retries) span() time.Duration { return r.set.Window.Or(defaultWindow) }

func (r *retries) window(key blackboard.ServiceKey) *retry.Window {
	w := r.windows[key]
	if w == nil {
		w = retry.NewWindow(retry.WindowLimits{
			Ratio: retriesUsed * r.set.Ratio,
			Span:  r.span(),
		})
		r.windows[key] = w
	}
	return w
}

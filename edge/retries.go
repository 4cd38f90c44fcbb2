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
	set   settings.Retries
	board *blackboard.Board

	mu      sync.Mutex
	windows map[blackboard.ServiceKey]*retry.Window
}

var _ dispatch.RetryBudget = (*retries)(nil)

func newRetries(s settings.Retries, b *blackboard.Board) *retries {
	return &retries{set: s, board: b, windows: make(map[blackboard.ServiceKey]*retry.Window)}
}

// Call implements dispatch.RetryBudget.
func (r *retries) Call(key blackboard.ServiceKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(key).Call(now)
}

// Take implements dispatch.RetryBudget.
func (r *retries) Take(key blackboard.ServiceKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(key)
	w.SetReserve(r.reserve())
	return w.Take(now)
}

func (r *retries) reserve() float64 {
	hosts := max(1, len(r.board.Members.Load().Members))
	return retriesUsed * r.set.Reserve / float64(hosts)
}

func (r *retries) window(key blackboard.ServiceKey) *retry.Window {
	w := r.windows[key]
	if w == nil {
		w = retry.NewWindow(retry.WindowLimits{
			Ratio:   retriesUsed * r.set.Ratio,
			Reserve: r.reserve(),
			Span:    r.set.Window.Or(defaultWindow),
		})
		r.windows[key] = w
	}
	return w
}

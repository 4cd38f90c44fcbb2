package edge

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/policy/retry"
	"github.com/cactusproxy/cactusproxy/settings"
)

// distributedBudgetRatio is the fraction of the configured retry budget that is divided among the
// known hosts. The rest covers hosts that have not discovered each other yet.
const distributedBudgetRatio = 0.8

// retryBudget is this host's part of the retry budget: the configured ratio of its own requests,
// plus an equal share of the reserve. It is safe for concurrent use.
type retryBudget struct {
	limits  settings.Retries
	board   *blackboard.Board
	started time.Time
	// underLoad is set if the host started while others were serving.
	underLoad bool

	mu      sync.Mutex
	windows map[blackboard.ServiceKey]*retry.Window
}

var _ dispatch.RetryBudget = (*retryBudget)(nil)

func newRetryBudget(s settings.Retries, b *blackboard.Board, underLoad bool) *retryBudget {
	return &retryBudget{limits: s, board: b, started: time.Now(), underLoad: underLoad, windows: make(map[blackboard.ServiceKey]*retry.Window)}
}

// Call implements dispatch.RetryBudget.
func (r *retryBudget) Call(key blackboard.ServiceKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(key).RecordCall(now)
}

// Take implements dispatch.RetryBudget.
func (r *retryBudget) Take(key blackboard.ServiceKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(key)
	w.SetReserve(r.reserveShare(now))
	return w.Take(now)
}

// hedgeBudgetRatio is the fraction of the budget that hedged attempts may use. The rest is kept for
// retries of requests that were rejected or failed, which would otherwise get no response.
const hedgeBudgetRatio = 0.8

// TakeHedge implements dispatch.RetryBudget.
func (r *retryBudget) TakeHedge(key blackboard.ServiceKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(key)
	w.SetReserve(r.reserveShare(now))
	return w.TakeWithin(now, hedgeBudgetRatio)
}

// initialReserveRatio is the fraction of its share of the reserve that a host starts with.
const initialReserveRatio = 0.25

// unknownShare is the most that a host that started under load takes of the reserve before it knows
// all others, in requests per window.
const unknownShare = 1

// reserveShare returns this host's share of the reserve, in requests per window. It ramps up to the
// full share over the first window: a host that has just started may know only its seeds, and
// would take far more than its share. Under load many hosts may start together that know only
// themselves, and each would take the whole reserve.
func (r *retryBudget) reserveShare(now time.Time) float64 {
	m := r.board.Members.Load()
	hosts := max(1, len(m.Members))
	ramp := min(1, max(initialReserveRatio, float64(now.Sub(r.started))/float64(r.span())))
	share := ramp * distributedBudgetRatio * r.limits.Reserve / float64(hosts)
	if r.underLoad && !m.Complete {
		return min(share, unknownShare)
	}
	return share
}

func (r *retryBudget) span() time.Duration { return r.limits.Window.Or(defaultRetryWindow) }

func (r *retryBudget) window(key blackboard.ServiceKey) *retry.Window {
	w := r.windows[key]
	if w == nil {
		w = retry.NewWindow(retry.WindowLimits{
			Ratio: distributedBudgetRatio * r.limits.Ratio,
			Span:  r.span(),
		})
		r.windows[key] = w
	}
	return w
}

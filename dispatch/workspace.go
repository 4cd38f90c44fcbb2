package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/policy/retry"
)

// workspaceState is the runtime state of one workspace on this host.
type workspaceState struct {
	inFlight atomic.Int64

	mu      sync.Mutex
	retries *retry.Budget
	hedges  *retry.Budget
}

func newWorkspaceState(decl *declare.Workspace, now time.Time) *workspaceState {
	return &workspaceState{
		retries: retry.NewBudget(decl.RetryRatio, now),
		hedges:  retry.NewBudget(decl.HedgeRatio, now),
	}
}

// recordCall adds a call to the budgets and applies the ratios declared now.
func (w *workspaceState) recordCall(decl *declare.Workspace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries.SetRatio(decl.RetryRatio)
	w.hedges.SetRatio(decl.HedgeRatio)
	w.retries.RecordCall()
	w.hedges.RecordCall()
}

// takeRetry reports whether the budget allows a retry, and deducts it if so.
func (w *workspaceState) takeRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retries.Take(now)
}

// takeHedge reports whether the budget allows a hedge, and deducts it if so.
func (w *workspaceState) takeHedge(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hedges.Take(now)
}

// workspace returns the state of a workspace, which is created on first use.
func (d *Dispatcher) workspace(decl *declare.Workspace) *workspaceState {
	if w, ok := d.workspaces.Load(decl.Name); ok {
		return w.(*workspaceState)
	}
	w, _ := d.workspaces.LoadOrStore(decl.Name, newWorkspaceState(decl, time.Now()))
	return w.(*workspaceState)
}

package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/policy/retry"
)

// workspace is what this host keeps of one workspace besides its declaration.
type workspace struct {
	inFlight atomic.Int64

	mu      sync.Mutex
	retries *retry.Budget
	hedges  *retry.Budget
}

func newWorkspace(decl *declare.Workspace, now time.Time) *workspace {
	return &workspace{
		retries: retry.NewBudget(decl.RetryRatio, now),
		hedges:  retry.NewBudget(decl.HedgeRatio, now),
	}
}

// begin notes a call, with the ratios now declared.
func (w *workspace) begin(decl *declare.Workspace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries.SetRatio(decl.RetryRatio)
	w.hedges.SetRatio(decl.HedgeRatio)
	w.retries.RecordCall()
	w.hedges.RecordCall()
}

// takeRetry pays for one further attempt.
func (w *workspace) takeRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.retries.Take(now)
}

// takeHedge pays for one hedge.
func (w *workspace) takeHedge(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hedges.Take(now)
}

// workspace returns the state of a workspace, making it at first use.
func (d *Dispatcher) workspace(decl *declare.Workspace) *workspace {
	if w, ok := d.workspaces.Load(decl.Name); ok {
		return w.(*workspace)
	}
	w, _ := d.workspaces.LoadOrStore(decl.Name, newWorkspace(decl, time.Now()))
	return w.(*workspace)
}

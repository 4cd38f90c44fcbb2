package ledger

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// runLogSize bounds the keys that a run log remembers.
const runLogSize = 1 << 16

// runLog remembers the latest keys under which a request may have run from this
// host, to assert that none runs twice.
type runLog struct {
	mu    sync.Mutex
	runs  map[string]runEntry
	order []string
	next  int
}

// runEntry is a key under which a request may have run.
type runEntry struct {
	claim claimID
	// until is when the operator's retention lets the key run again.
	until time.Time
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]runEntry)}
}

// start records that a request is about to be sent. Its key may run again once
// the retention has passed.
func (g *runLog) start(row string, id claimID, retention time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The sweep goes by the wall clock, also while a machine is suspended.
	now := time.Now().Round(0)
	before, ran := g.runs[row]
	twice := ran && now.Before(before.until)
	invariant.Check(!twice, invariant.AtMostOnce, "key %s sent by %s and %s", row, before.claim, id)
	if !ran {
		g.remember(row)
	}
	g.runs[row] = runEntry{claim: id, until: now.Add(retention)}
}

// remember makes room by dropping the oldest key.
func (g *runLog) remember(row string) {
	if len(g.order) < runLogSize {
		g.order = append(g.order, row)
		return
	}
	delete(g.runs, g.order[g.next])
	g.order[g.next] = row
	g.next = (g.next + 1) % runLogSize
}

// refused records that the request did not run after all.
func (g *runLog) refused(row string, id claimID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs[row].claim == id {
		delete(g.runs, row)
	}
}

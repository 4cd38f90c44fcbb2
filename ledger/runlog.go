package ledger

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// runLogSize limits the number of keys in a run log.
const runLogSize = 1 << 16

// runLog records the most recent keys under which this host may have run a request,
// to assert that no key runs twice.
type runLog struct {
	mu    sync.Mutex
	runs  map[string]runEntry
	order []string
	next  int
}

// runEntry is a key under which a request may have run.
type runEntry struct {
	claim claimID
	// until is when the operator's retention allows the key to run again.
	until time.Time
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]runEntry)}
}

// start records that a request is about to be sent. Its key may run again once the
// retention has passed.
func (g *runLog) start(row string, id claimID, retention time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The sweep uses the wall clock, which also advances while a machine is
	// suspended.
	now := time.Now().Round(0)
	previous, ran := g.runs[row]
	duplicate := ran && now.Before(previous.until)
	invariant.Check(!duplicate, invariant.AtMostOnce,
		"key %s sent by %s and %s", row, previous.claim, id)
	if !ran {
		g.add(row)
	}
	g.runs[row] = runEntry{claim: id, until: now.Add(retention)}
}

// add adds a key and evicts the oldest one if the log is full.
func (g *runLog) add(row string) {
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

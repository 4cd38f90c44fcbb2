package ledger

import (
	"sync"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// runLogSize bounds the keys that a run log remembers.
const runLogSize = 1 << 16

// runLog remembers the latest keys under which a request may have run from this
// host, to assert that none runs twice.
type runLog struct {
	mu    sync.Mutex
	runs  map[string]claimID
	order []string
	next  int
}

func newRunLog() *runLog {
	return &runLog{runs: make(map[string]claimID)}
}

// start records that a request is about to be sent.
func (g *runLog) start(row string, id claimID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, ran := g.runs[row]
	invariant.Check(!ran, invariant.AtMostOnce, "key %s sent by %s and %s", row, before, id)
	g.remember(row)
	g.runs[row] = id
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
	if g.runs[row] == id {
		delete(g.runs, row)
	}
}

package ledger

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
)

// resultCounts counts the results over all histories, to show that the scenarios
// reach the cases they are meant for.
type resultCounts map[string]int

func (c resultCounts) add(h *history) {
	c["histories"]++
	for _, r := range h.replies {
		c[fmt.Sprintf("%s/%s", r.res.Outcome, r.res.Reason)]++
	}
	c["runs"] += len(h.cluster.target.runs)
	for _, host := range h.cluster.hosts {
		for _, name := range []string{"writes_pooled", "forwards_failed", "claims_retaken", "claims_late"} {
			c[name] += host.count(name)
		}
	}
}

func runInBubble(t *testing.T, s scenario, wrap func(ports.Table) ports.Table) *history {
	t.Helper()
	var h *history
	synctest.Test(t, func(*testing.T) { h = runScenario(s, wrap) })
	return h
}

// Callers send the same keys to several hosts repeatedly while the store fails in
// all its ways, hosts pause and crash, and links are cut. In any order of events
// each key runs at most once, a not-run result is true, and a response belongs to
// the caller's own request.
func TestRandomHistories(t *testing.T) {
	seen := resultCounts{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		h := runInBubble(t, s, nil)
		seen.add(h)
		if v := h.violations(); len(v) > 0 {
			// The order of events at the same instant is not deterministic, so
			// rapid may not reproduce the failure; this is the scenario that showed
			// it.
			t.Logf("%s\n%+v", strings.Join(v, "\n"), s)
			rt.Fatalf("%s\n%+v", strings.Join(v, "\n"), s)
		}
	})
	t.Log(seen)
	for _, want := range []string{
		"runs", "writes_pooled", "forwards_failed", "claims_retaken", "claims_late",
		resultName(outcome.Answered, outcome.ReasonStored),
		resultName(outcome.NotRun, outcome.ReasonKeyGivenUp),
		resultName(outcome.Unknown, outcome.ReasonClaimUnknown),
		resultName(outcome.Unknown, outcome.ReasonStoreUnavailable),
		resultName(outcome.Unknown, outcome.ReasonKeyInProgress),
		resultName(outcome.Unknown, outcome.ReasonIssuerGone),
		resultName(outcome.Unknown, outcome.ReasonKeyMismatch),
		resultName(outcome.Unknown, outcome.ReasonKeyUndecided),
	} {
		assert.Check(t, seen[want] >= 50, "%s: %d", want, seen[want])
	}
	assert.Check(t, seen["histories"] >= 2000)
}

func resultName(o outcome.Outcome, r outcome.Reason) string { return fmt.Sprintf("%s/%s", o, r) }

// ackBeforeWriteTable reports a write as applied before it is made, so that hosts
// send before they hold the claim.
type ackBeforeWriteTable struct {
	ports.Table
	lag time.Duration
}

func (t ackBeforeWriteTable) Commit(_ context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	time.AfterFunc(t.lag, func() { _, _ = t.Table.Commit(context.Background(), ops...) })
	return ports.CommitResult{Applied: true}, nil
}

// leaseTable deletes a claim older than the lease when another one is inserted, so
// that claims are taken over after a lease.
type leaseTable struct {
	ports.Table
	lease time.Duration
	mu    *sync.Mutex
	made  map[string]time.Time
}

func (t leaseTable) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	t.mu.Lock()
	var deletes []ports.Op
	for _, op := range ops {
		if op.Kind == ports.OpInsert && time.Since(t.made[op.Key]) > t.lease {
			deletes = append(deletes, ports.Op{Kind: ports.OpDelete, Key: op.Key})
			t.made[op.Key] = time.Now()
		}
	}
	t.mu.Unlock()
	if len(deletes) > 0 {
		_, _ = t.Table.Commit(ctx, deletes...)
	}
	return t.Table.Commit(ctx, ops...)
}

// Checks the checker: tables that break the ledger's guarantees lead to keys that
// run twice, and the check of TestRandomHistories detects it.
func TestRandomHistoriesCatchBrokenLedgers(t *testing.T) {
	broken := map[string]func(ports.Table) ports.Table{
		"claim after send": func(table ports.Table) ports.Table {
			return ackBeforeWriteTable{Table: table, lag: 100 * time.Millisecond}
		},
		"takeover on expiry": func(table ports.Table) ports.Table {
			return leaseTable{Table: table, lease: time.Second, mu: new(sync.Mutex), made: map[string]time.Time{}}
		},
	}
	for name, wrap := range broken {
		t.Run(name, func(t *testing.T) {
			caught := 0
			rapid.Check(t, func(rt *rapid.T) {
				if caught >= requiredCatches {
					return
				}
				h := runInBubble(t, drawScenario(rt), wrap)
				if len(h.violated)+len(h.duplicateRuns()) > 0 {
					caught++
				}
			})
			assert.Equal(t, caught, requiredCatches)
		})
	}
}

// requiredCatches is the number of detected duplicate runs after which a broken
// table counts as caught.
const requiredCatches = 20

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

// tally counts what was told over all histories, to show that the histories
// reach the cases they are meant for.
type tally map[string]int

func (c tally) add(h *history) {
	c["histories"]++
	for _, r := range h.replies {
		c[fmt.Sprintf("%s/%s", r.res.Outcome, r.res.Reason)]++
	}
	c["runs"] += len(h.w.target.runs)
	for _, host := range h.w.hosts {
		for _, name := range []string{"writes_pooled", "forwards_failed", "claims_retaken", "claims_late"} {
			c[name] += host.count(name)
		}
	}
}

func playInBubble(t *testing.T, s script, wrap func(ports.Table) ports.Table) *history {
	t.Helper()
	var h *history
	synctest.Test(t, func(*testing.T) { h = play(s, wrap) })
	return h
}

// Callers send the same keys to several hosts again and again while the store
// fails in all its ways, hosts pause and crash, and links are cut. Whatever the
// order, each key runs at most once, whoever is told not-run can rely on it, and
// an answer is the caller's own.
func TestRandomHistories(t *testing.T) {
	seen := tally{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		h := playInBubble(t, s, nil)
		seen.add(h)
		if v := h.violations(); len(v) > 0 {
			// Hosts that act in the same instant do so in any order, so rapid may
			// not meet the failure again; this is the history that showed it.
			t.Logf("%s\n%+v", strings.Join(v, "\n"), s)
			rt.Fatalf("%s\n%+v", strings.Join(v, "\n"), s)
		}
	})
	t.Log(seen)
	for _, want := range []string{
		"runs", "writes_pooled", "forwards_failed", "claims_retaken", "claims_late", told(outcome.Answered, outcome.ReasonStored), told(outcome.NotRun, outcome.ReasonKeyGivenUp),
		told(outcome.Unknown, outcome.ReasonClaimUnknown), told(outcome.Unknown, outcome.ReasonStoreUnavailable),
		told(outcome.Unknown, outcome.ReasonKeyInProgress), told(outcome.Unknown, outcome.ReasonIssuerGone),
		told(outcome.Unknown, outcome.ReasonKeyMismatch), told(outcome.Unknown, outcome.ReasonKeyUndecided),
	} {
		assert.Check(t, seen[want] >= 50, "%s: %d", want, seen[want])
	}
	assert.Check(t, seen["histories"] >= 2000)
}

func told(o outcome.Outcome, r outcome.Reason) string { return fmt.Sprintf("%s/%s", o, r) }

// sendFirst answers that a claim is made before it is: claim after send.
type sendFirst struct {
	ports.Table
	lag time.Duration
}

func (t sendFirst) Commit(_ context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	time.AfterFunc(t.lag, func() { _, _ = t.Table.Commit(context.Background(), ops...) })
	return ports.CommitResult{Applied: true}, nil
}

// expiring makes room for a claim by removing one that it deems expired: a
// takeover after a lease.
type expiring struct {
	ports.Table
	lease time.Duration
	mu    *sync.Mutex
	made  map[string]time.Time
}

func (t expiring) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	t.mu.Lock()
	var all []ports.Op
	for _, op := range ops {
		if op.Kind == ports.OpInsert && time.Since(t.made[op.Key]) > t.lease {
			all = append(all, ports.Op{Kind: ports.OpDelete, Key: op.Key})
			t.made[op.Key] = time.Now()
		}
	}
	t.mu.Unlock()
	if len(all) > 0 {
		_, _ = t.Table.Commit(ctx, all...)
	}
	return t.Table.Commit(ctx, ops...)
}

// Ledgers that are broken on purpose run keys twice, and the check above says
// so. Were it silent here, its silence there would show nothing.
func TestRandomHistoriesCatchBrokenLedgers(t *testing.T) {
	broken := map[string]func(ports.Table) ports.Table{
		"claim after send": func(under ports.Table) ports.Table {
			return sendFirst{Table: under, lag: 100 * time.Millisecond}
		},
		"takeover on expiry": func(under ports.Table) ports.Table {
			return expiring{Table: under, lease: time.Second, mu: new(sync.Mutex), made: map[string]time.Time{}}
		},
	}
	for name, wrap := range broken {
		t.Run(name, func(t *testing.T) {
			caught := 0
			rapid.Check(t, func(rt *rapid.T) {
				if caught >= enough {
					return
				}
				h := playInBubble(t, drawScript(rt), wrap)
				if len(h.broken)+len(h.ranTwice()) > 0 {
					caught++
				}
			})
			assert.Equal(t, caught, enough)
		})
	}
}

// enough is the number of bad histories after which a broken ledger counts as
// caught.
const enough = 20

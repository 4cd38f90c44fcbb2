package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// pooled gives hosts next to no share of their own.
var pooled = Options{WriteRate: 1, PoolRate: 100}

// burst sends calls to a host one after the other, and returns the longest time
// that one took.
func (w *world) burst(t *testing.T, host, n int) time.Duration {
	t.Helper()
	var longest time.Duration
	for i := range n {
		k := key(fmt.Sprintf("%d-%d-%v", host, i, time.Now().UnixNano()))
		began := time.Now()
		_, r := w.send(t, host, k)
		result(t, r, outcome.Answered, outcome.ReasonOK)
		longest = max(longest, time.Since(began))
		assert.Equal(t, len(w.target.runsOf(k.Value)), 1)
	}
	return longest
}

// A host has used up its share. Its claims go through the coordinator, and none
// waits for the host's next turn, a second away.
func TestClaimsGoThroughTheCoordinator(t *testing.T) {
	inWorld(t, 3, pooled, func(t *testing.T, w *world) {
		assert.Check(t, w.burst(t, 1, 50) < 50*time.Millisecond)
		assert.Check(t, w.hosts[1].count("writes_pooled") > 40)
	})
}

// The coordinator commits a claim, but its reply is lost. The host makes the
// same claim in the table, meets its own, and sends once.
func TestLostReplyOfTheCoordinator(t *testing.T) {
	inWorld(t, 3, pooled, func(t *testing.T, w *world) {
		w.burst(t, 1, 5)
		w.net.Block(w.hosts[0].id, w.hosts[1].id)
		assert.Check(t, w.burst(t, 1, 1) < 2*time.Second)
		assert.Check(t, w.hosts[1].count("forwards_failed") > 0)
	})
}

// Hosts take each other for the coordinator, so that each refuses. Claims are
// made by each host for itself.
func TestHostsThatDisagreeOnTheCoordinator(t *testing.T) {
	inWorld(t, 2, pooled, func(t *testing.T, w *world) {
		w.hosts[0].view.Store(1)
		w.hosts[1].view.Store(0)
		w.burst(t, 0, 4)
		w.burst(t, 1, 4)
		assert.Check(t, w.hosts[0].count("pool_refused") > 0)
	})
}

// The store is down at the coordinator too. The caller is told so at its
// deadline, and its key is not held by anybody when the store is back.
func TestCoordinatorWithoutAStore(t *testing.T) {
	inWorld(t, 2, pooled, func(t *testing.T, w *world) {
		w.burst(t, 1, 5)
		w.store.SetFaults(store.Faults{Down: true})
		_, r := w.send(t, 1, key("k"))
		assert.Equal(t, r.Outcome, outcome.Unknown)
		w.store.SetFaults(store.Faults{})
		time.Sleep(5 * time.Second)
		_, r = w.send(t, 0, key("k"))
		result(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

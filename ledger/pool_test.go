package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// pooledOptions gives hosts almost no rate of their own.
var pooledOptions = Options{WriteRate: 1, PoolRate: 100}

// sendMany sends n calls to a host one after the other, and returns the longest
// duration of a call.
func (cl *cluster) sendMany(t *testing.T, host, n int) time.Duration {
	t.Helper()
	var longest time.Duration
	for i := range n {
		k := key(fmt.Sprintf("%d-%d-%v", host, i, time.Now().UnixNano()))
		began := time.Now()
		_, r := cl.send(t, host, k)
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
		longest = max(longest, time.Since(began))
		assert.Equal(t, len(cl.target.runsOf(k.Value)), 1)
	}
	return longest
}

// A host has used up its own rate. Its claims go through the coordinator and do not
// wait for the host's next transaction, a second away.
func TestClaimsGoThroughTheCoordinator(t *testing.T) {
	withCluster(t, 3, pooledOptions, func(t *testing.T, cl *cluster) {
		assert.Check(t, cl.sendMany(t, 1, 50) < 50*time.Millisecond)
		assert.Check(t, cl.hosts[1].count("writes_pooled") > 40)
	})
}

// The coordinator commits a claim, but its reply is lost. The host repeats the
// claim directly in the table, finds its own value, and sends once.
func TestLostReplyOfTheCoordinator(t *testing.T) {
	withCluster(t, 3, pooledOptions, func(t *testing.T, cl *cluster) {
		cl.sendMany(t, 1, 5)
		cl.net.Block(cl.hosts[0].id, cl.hosts[1].id)
		assert.Check(t, cl.sendMany(t, 1, 1) < 2*time.Second)
		assert.Check(t, cl.hosts[1].count("forwards_failed") > 0)
	})
}

// Two hosts each consider the other one the coordinator, so both refuse forwarded
// writes. Each host then makes its own claims.
func TestHostsThatDisagreeOnTheCoordinator(t *testing.T) {
	withCluster(t, 2, pooledOptions, func(t *testing.T, cl *cluster) {
		cl.hosts[0].view.Store(1)
		cl.hosts[1].view.Store(0)
		cl.sendMany(t, 0, 4)
		cl.sendMany(t, 1, 4)
		assert.Check(t, cl.hosts[0].count("pool_refused") > 0)
	})
}

// The store is down for the coordinator too. The caller is told unknown at its
// deadline, and the key is free when the store is back.
func TestCoordinatorWithoutAStore(t *testing.T) {
	withCluster(t, 2, pooledOptions, func(t *testing.T, cl *cluster) {
		cl.sendMany(t, 1, 5)
		cl.store.SetFaults(store.Faults{Down: true})
		_, r := cl.send(t, 1, key("k"))
		assert.Equal(t, r.Outcome, outcome.Unknown)
		cl.store.SetFaults(store.Faults{})
		time.Sleep(5 * time.Second)
		_, r = cl.send(t, 0, key("k"))
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

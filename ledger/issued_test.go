package ledger

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// issuedKey returns a key that host i issued to the default caller.
func (cl *cluster) issuedKey(i int) Key {
	k := key("")
	k.Value = cl.hosts[i].ledger.Issue(k.Workspace, k.Service, k.Caller)
	return k
}

// While the store is down, a caller sends a key issued by one host to another. The
// call runs once, and a retry through any host gets the stored response.
func TestIssuedKeyNeedsNoStore(t *testing.T) {
	withCluster(t, 3, Options{}, func(t *testing.T, cl *cluster) {
		cl.store.SetFaults(store.Faults{Down: true})
		k := cl.issuedKey(0)
		first, r := cl.send(t, 1, k)
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
		time.Sleep(time.Second)
		for i := range 3 {
			again, r := cl.send(t, i, k)
			checkResult(t, r, outcome.Answered, outcome.ReasonStored)
			assert.DeepEqual(t, again, first)
		}
		assert.Equal(t, len(cl.target.runsOf(k.Value)), 1)
	})
}

// An issued key is refused for another caller and for another service.
func TestIssuedKeyIsBound(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		k := cl.issuedKey(0)
		k.Caller = "eva"
		_, r := cl.send(t, 1, k)
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyMalformed)
		k = cl.issuedKey(0)
		k.Service = "settlement"
		_, r = cl.send(t, 0, k)
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyMalformed)
	})
}

// The issuer's reply is lost. The requesting host sends nothing and reports
// unknown, because an earlier request might have run. Once it reaches the issuer,
// the claim is given up there and a later request with the key may run.
func TestLostReplyOfTheIssuerSendsNothing(t *testing.T) {
	withCluster(t, 3, Options{}, func(t *testing.T, cl *cluster) {
		k := cl.issuedKey(0)
		cl.net.Block(cl.hosts[0].id, cl.hosts[1].id)
		_, r := cl.send(t, 1, k)
		checkResult(t, r, outcome.Unknown, outcome.ReasonClaimUnknown)
		time.Sleep(100 * time.Millisecond)
		_, r = cl.send(t, 2, k)
		checkResult(t, r, outcome.NotRun, outcome.ReasonKeyGivenUp)
		assert.Equal(t, len(cl.target.runsOf(k.Value)), 0)
		cl.net.UnblockAll()
		time.Sleep(3 * time.Second)
		_, r = cl.send(t, 2, k)
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// After a key has run, a later request asks its issuer, whose reply is lost. That
// claim is given up without having been confirmed. The next request on the same
// host must not conclude from it that the key did not run.
func TestUnconfirmedClaimDoesNotProveNotRun(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		k := cl.issuedKey(0)
		cl.send(t, 1, k)
		time.Sleep(time.Second)
		cl.net.Block(cl.hosts[0].id, cl.hosts[1].id)
		_, r := cl.send(t, 1, k)
		checkResult(t, r, outcome.Unknown, outcome.ReasonClaimUnknown)
		_, r = cl.send(t, 1, k)
		assert.Equal(t, r.Outcome, outcome.Unknown)
		assert.Equal(t, len(cl.target.runsOf(k.Value)), 1)
	})
}

// An issuer crashes and may restart. Its keys never run again: the record of which
// keys ran is lost, and any of them may have run.
func TestKeysOfADeadIssuerNeverRun(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		ran, fresh := cl.issuedKey(0), cl.issuedKey(0)
		cl.send(t, 1, ran)
		cl.hosts[0].crash()
		cl.net.Leave(cl.hosts[0].id)
		_, r := cl.send(t, 1, fresh)
		assert.Equal(t, r.Outcome, outcome.Unknown)
		cl.boot(0)
		time.Sleep(2 * time.Second)
		for _, k := range []Key{ran, fresh} {
			for i := range 2 {
				_, r = cl.send(t, i, k)
				checkResult(t, r, outcome.Unknown, outcome.ReasonIssuerGone)
			}
		}
		assert.Equal(t, len(cl.target.runsOf(fresh.Value)), 0)
		assert.Equal(t, len(cl.target.runsOf(ran.Value)), 1)
	})
}

// A redeemed key is remembered until its window has passed and refused after that,
// so it never runs again.
func TestIssuedKeyExpires(t *testing.T) {
	withCluster(t, 1, Options{}, func(t *testing.T, cl *cluster) {
		k := cl.issuedKey(0)
		cl.send(t, 0, k)
		for range 20 {
			time.Sleep(time.Minute)
			_, r := cl.send(t, 0, k)
			assert.Check(t, r.Reason == outcome.ReasonStored || r.Reason == outcome.ReasonKeyExpired)
		}
		assert.Equal(t, len(cl.target.runsOf(k.Value)), 1)
		assert.Equal(t, len(cl.hosts[0].ledger.issuer.redeemed), 0)
	})
}

// A target sheds the call and another one runs it under the same claim. A second
// attempt is never allowed while the first may run.
func TestShedCallMayGoToAnotherTarget(t *testing.T) {
	withCluster(t, 1, Options{}, func(t *testing.T, cl *cluster) {
		for _, k := range []Key{key("k"), cl.issuedKey(0)} {
			c, _, _ := cl.begin(t, 0, k)
			assert.Check(t, c.BeginAttempt())
			assert.Check(t, !c.BeginAttempt())
			c.AttemptRefused()
			assert.Check(t, c.BeginAttempt())
			c.Finish(context.Background(), cl.target.run(k))
			c.AttemptRefused()
			assert.Check(t, !c.BeginAttempt())
			assert.Equal(t, len(cl.target.runsOf(k.Value)), 1)
		}
	})
}

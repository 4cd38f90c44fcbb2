package ledger

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// issue returns a key that a host issued to the usual caller.
func (w *world) issue(i int) Key {
	k := key("")
	k.Value = w.hosts[i].ledger.Issue(k.Workspace, k.Service, k.Caller)
	return k
}

// The store is down. A caller with a key from one host calls another: the call
// runs once, and a second send gets its answer, through either host.
func TestIssuedKeyNeedsNoStore(t *testing.T) {
	inWorld(t, 3, Options{}, func(t *testing.T, w *world) {
		w.store.SetFaults(store.Faults{Down: true})
		k := w.issue(0)
		first, r := w.send(t, 1, k)
		result(t, r, outcome.Answered, outcome.ReasonOK)
		time.Sleep(time.Second)
		for i := range 3 {
			again, r := w.send(t, i, k)
			result(t, r, outcome.Answered, outcome.ReasonStored)
			assert.DeepEqual(t, again, first)
		}
		assert.Equal(t, len(w.target.runsOf(k.Value)), 1)
	})
}

// A key is of no use to another caller, nor for another service.
func TestIssuedKeyIsBound(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		k := w.issue(0)
		k.Caller = "eva"
		_, r := w.send(t, 1, k)
		result(t, r, outcome.Unknown, outcome.ReasonKeyMalformed)
		k = w.issue(0)
		k.Service = "settlement"
		_, r = w.send(t, 0, k)
		result(t, r, outcome.Unknown, outcome.ReasonKeyMalformed)
	})
}

// The reply of the issuer is lost. The host that asked sends nothing and says
// unknown, for an earlier send might have run. Once it reaches the issuer the
// claim is given up there, and a later send of the key may run.
func TestLostReplyOfTheIssuerSendsNothing(t *testing.T) {
	inWorld(t, 3, Options{}, func(t *testing.T, w *world) {
		k := w.issue(0)
		w.net.Block(w.hosts[0].id, w.hosts[1].id)
		_, r := w.send(t, 1, k)
		result(t, r, outcome.Unknown, outcome.ReasonClaimUnknown)
		time.Sleep(100 * time.Millisecond)
		_, r = w.send(t, 2, k)
		result(t, r, outcome.NotRun, outcome.ReasonKeyGivenUp)
		assert.Equal(t, len(w.target.runsOf(k.Value)), 0)
		w.net.UnblockAll()
		time.Sleep(3 * time.Second)
		_, r = w.send(t, 2, k)
		result(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// A key has run. A later send asks its issuer, whose reply is lost; the next
// one, to the same host, must not conclude from that claim, which was given up
// unsent, that the key did not run.
func TestClaimThatWasNeverHeldSaysNothingOfTheKey(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		k := w.issue(0)
		w.send(t, 1, k)
		time.Sleep(time.Second)
		w.net.Block(w.hosts[0].id, w.hosts[1].id)
		_, r := w.send(t, 1, k)
		result(t, r, outcome.Unknown, outcome.ReasonClaimUnknown)
		_, r = w.send(t, 1, k)
		assert.Equal(t, r.Outcome, outcome.Unknown)
		assert.Equal(t, len(w.target.runsOf(k.Value)), 1)
	})
}

// An issuer crashes and comes back, or does not. Its keys never run again: what
// it knew of them is gone, and one of them may have run.
func TestKeysOfADeadIssuerNeverRun(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		ran, fresh := w.issue(0), w.issue(0)
		w.send(t, 1, ran)
		w.hosts[0].crash()
		w.net.Leave(w.hosts[0].id)
		_, r := w.send(t, 1, fresh)
		assert.Equal(t, r.Outcome, outcome.Unknown)
		w.boot(0)
		time.Sleep(2 * time.Second)
		for _, k := range []Key{ran, fresh} {
			for i := range 2 {
				_, r = w.send(t, i, k)
				result(t, r, outcome.Unknown, outcome.ReasonIssuerGone)
			}
		}
		assert.Equal(t, len(w.target.runsOf(fresh.Value)), 0)
		assert.Equal(t, len(w.target.runsOf(ran.Value)), 1)
	})
}

// A spent key is remembered until its window has passed, and refused after
// that: at no time does it run again.
func TestIssuedKeyExpires(t *testing.T) {
	inWorld(t, 1, Options{}, func(t *testing.T, w *world) {
		k := w.issue(0)
		w.send(t, 0, k)
		for range 20 {
			time.Sleep(time.Minute)
			_, r := w.send(t, 0, k)
			assert.Check(t, r.Reason == outcome.ReasonStored || r.Reason == outcome.ReasonKeyExpired)
		}
		assert.Equal(t, len(w.target.runsOf(k.Value)), 1)
		assert.Equal(t, len(w.hosts[0].ledger.issuer.spent), 0)
	})
}

// The target sheds the call, another takes it, all under one claim. A second
// attempt beside one that may run is never allowed.
func TestShedCallMayGoToAnotherTarget(t *testing.T) {
	inWorld(t, 1, Options{}, func(t *testing.T, w *world) {
		for _, k := range []Key{key("k"), w.issue(0)} {
			c, _, _ := w.begin(t, 0, k)
			assert.Check(t, c.Sending())
			assert.Check(t, !c.Sending())
			c.Refused()
			assert.Check(t, c.Sending())
			c.Finish(context.Background(), w.target.run(k))
			c.Refused()
			assert.Check(t, !c.Sending())
			assert.Equal(t, len(w.target.runsOf(k.Value)), 1)
		}
	})
}

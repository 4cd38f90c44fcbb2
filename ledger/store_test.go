package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// The store takes longer than the caller's deadline. The claim may be in the table,
// so the result is unknown and nothing is sent. The host gives the late claim up on
// its own, and the caller's next request runs.
func TestDeadlineShorterThanTheStore(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		cl.store.SetFaults(store.Faults{Delay: 1900 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, _, r := cl.hosts[0].ledger.Begin(ctx, key("k"))
		checkResult(t, r, outcome.Unknown, outcome.ReasonClaimUnknown)
		time.Sleep(2 * time.Second)
		cl.store.SetFaults(store.Faults{})
		time.Sleep(4 * time.Second)
		_, r = cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// The store applies the claim, but its reply is lost. The row is read back and
// found to be the host's own claim, and the call continues.
func TestLostAnswerToAClaim(t *testing.T) {
	withCluster(t, 1, Options{}, func(t *testing.T, cl *cluster) {
		cl.store.SetFaults(store.Faults{LoseReply: func() bool { return true }})
		_, r := cl.send(t, 0, key("k"))
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
		assert.Equal(t, len(cl.target.runsOf("k")), 1)
	})
}

// A host holds a claim when the store goes down, and finds no target. Not-run is
// true before it is persisted, because no other request can hold the key. The
// record is written later.
func TestGivingUpDuringAnOutage(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		cl.store.SetFaults(store.Faults{Down: true})
		checkResult(t, c.GiveUp(context.Background()), outcome.NotRun, outcome.ReasonKeyGivenUp)
		time.Sleep(time.Minute)
		cl.store.SetFaults(store.Faults{})
		time.Sleep(2 * time.Second)
		_, r := cl.send(t, 1, key("k"))
		checkResult(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// A host crashes while holding a claim. It may have sent the request, so no other
// host ever sends it.
func TestClaimOfACrashedHostStays(t *testing.T) {
	withCluster(t, 2, Options{}, func(t *testing.T, cl *cluster) {
		cl.begin(t, 0, key("k"))
		cl.hosts[0].crash()
		cl.boot(0)
		for i := range 4 {
			time.Sleep(time.Hour)
			_, r := cl.send(t, i%2, key("k"))
			checkResult(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
		}
		assert.Equal(t, len(cl.target.runsOf("k")), 0)
	})
}

// The response is too large to be stored. A retry is told that the call ran and its
// response was not kept, and does not run again.
func TestLargeAnswerIsNotKept(t *testing.T) {
	withCluster(t, 2, Options{MaxResponseSize: 10}, func(t *testing.T, cl *cluster) {
		for _, k := range []Key{key("a key with a long answer"), cl.issuedKey(0)} {
			cl.send(t, 0, k)
			assert.Check(t, cl.hosts[0].ledger.Drain(context.Background()))
			_, r := cl.send(t, 1, k)
			checkResult(t, r, outcome.Unknown, outcome.ReasonAnswerNotKept)
		}
	})
}

// timedKey returns a key that carries its creation time.
func timedKey(at time.Time) Key {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(at))
	return key(id.String())
}

// A timed key is refused once it is older than the retention. Its row is deleted
// only after that, so the key can not be claimed a second time.
func TestTimedKeyIsRefusedBeforeItsRowGoes(t *testing.T) {
	withCluster(t, 1, Options{}, func(t *testing.T, cl *cluster) {
		k := timedKey(time.Now())
		cl.send(t, 0, k)
		for range 30 {
			time.Sleep(time.Hour)
			_, r := cl.send(t, 0, k)
			assert.Check(t, r.Reason == outcome.ReasonStored || r.Reason == outcome.ReasonKeyExpired, "%s", r.Reason)
		}
		assert.Equal(t, countRows(t, cl, timedPrefix), 0)
		_, r := cl.send(t, 0, timedKey(time.Now().Add(time.Hour)))
		checkResult(t, r, outcome.Unknown, outcome.ReasonKeyMalformed)
		assert.Equal(t, len(cl.target.runs), 1)
	})
}

func countRows(t *testing.T, cl *cluster, prefix string) int {
	t.Helper()
	list, err := cl.store.Scan(context.Background(), prefix, "", 10_000)
	assert.NilError(t, err)
	return len(list)
}

// Opaque keys stay forever or for the operator's retention. The sweep handles more
// rows than one batch and keeps recent ones.
func TestOpaqueKeysStayForTheRetention(t *testing.T) {
	for _, c := range []struct {
		retention time.Duration
		left      int
	}{{0, 501}, {24 * time.Hour, 1}} {
		withCluster(t, 1, Options{OpaqueRetention: c.retention}, func(t *testing.T, cl *cluster) {
			for i := range 500 {
				cl.send(t, 0, key(fmt.Sprint("old", i)))
			}
			time.Sleep(24 * time.Hour)
			cl.send(t, 0, key("young"))
			time.Sleep(time.Hour)
			assert.Equal(t, countRows(t, cl, opaquePrefix), c.left)
			// A key whose row was deleted may run again, which the host that ran it
			// first must not report as a violation.
			_, r := cl.send(t, 0, key("old0"))
			assert.Equal(t, r.Reason == outcome.ReasonOK, c.retention > 0)
		})
	}
}

// A claim may not be used after its maximum hold time, because its row may be
// deleted and the key claimed again.
func TestOldClaimIsNotSent(t *testing.T) {
	withCluster(t, 1, Options{OpaqueRetention: 24 * time.Hour}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		time.Sleep(13 * time.Hour)
		assert.Check(t, !c.BeginAttempt())
		assert.Equal(t, c.GiveUp(context.Background()).Outcome, outcome.Unknown)
	})
}

// slowSettleStore delays the host while a claim is given up.
type slowSettleStore struct{ claimStore }

func (b slowSettleStore) settle(ctx context.Context, c *Claim) {
	b.claimStore.settle(ctx, c)
	time.Sleep(time.Second)
}

// A host is paused after it gave a claim up and before it tells the caller. A later
// request may have taken the key meanwhile, so the result is unknown.
func TestPauseBeforeNotRunIsTold(t *testing.T) {
	withCluster(t, 1, Options{}, func(t *testing.T, cl *cluster) {
		c, _, _ := cl.begin(t, 0, key("k"))
		c.store = slowSettleStore{c.store}
		checkResult(t, c.GiveUp(context.Background()), outcome.Unknown, outcome.ReasonKeyGivenUp)
	})
}

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

// The store takes longer than the caller's deadline. The claim may be in the
// table, so the caller is told unknown and nothing is sent. The host gives the
// late claim up by itself, and the caller's next send runs.
func TestDeadlineShorterThanTheStore(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		w.store.SetFaults(store.Faults{Delay: 1900 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, _, r := w.hosts[0].ledger.Begin(ctx, key("k"))
		result(t, r, outcome.Unknown, outcome.ReasonClaimUnknown)
		time.Sleep(2 * time.Second)
		w.store.SetFaults(store.Faults{})
		time.Sleep(4 * time.Second)
		_, r = w.send(t, 1, key("k"))
		result(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// The store takes the claim, but its answer is lost. The claim is read back and
// found to be the host's own, and the call goes on.
func TestLostAnswerToAClaim(t *testing.T) {
	inWorld(t, 1, Options{}, func(t *testing.T, w *world) {
		w.store.SetFaults(store.Faults{LoseReply: func() bool { return true }})
		_, r := w.send(t, 0, key("k"))
		result(t, r, outcome.Answered, outcome.ReasonOK)
		assert.Equal(t, len(w.target.runsOf("k")), 1)
	})
}

// A host holds a claim when the store goes down, and finds no target. Not-run is
// true without the mark, for nobody else can hold the key. The mark follows.
func TestGivingUpDuringAnOutage(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		w.store.SetFaults(store.Faults{Down: true})
		result(t, c.GiveUp(context.Background()), outcome.NotRun, outcome.ReasonKeyGivenUp)
		time.Sleep(time.Minute)
		w.store.SetFaults(store.Faults{})
		time.Sleep(2 * time.Second)
		_, r := w.send(t, 1, key("k"))
		result(t, r, outcome.Answered, outcome.ReasonOK)
	})
}

// A host crashes with a claim in hand. It may have sent; whatever time passes,
// nobody else sends.
func TestClaimOfACrashedHostStays(t *testing.T) {
	inWorld(t, 2, Options{}, func(t *testing.T, w *world) {
		w.begin(t, 0, key("k"))
		w.hosts[0].crash()
		w.boot(0)
		for i := range 4 {
			time.Sleep(time.Hour)
			_, r := w.send(t, i%2, key("k"))
			result(t, r, outcome.Unknown, outcome.ReasonKeyUndecided)
		}
		assert.Equal(t, len(w.target.runsOf("k")), 0)
	})
}

// The answer is too large to be stored. The caller that sends again learns that
// the call ran without an answer to show, and it does not run again.
func TestLargeAnswerIsNotKept(t *testing.T) {
	inWorld(t, 2, Options{MaxAnswer: 10}, func(t *testing.T, w *world) {
		for _, k := range []Key{key("a key with a long answer"), w.issue(0)} {
			w.send(t, 0, k)
			assert.Check(t, w.hosts[0].ledger.Drain(context.Background()))
			_, r := w.send(t, 1, k)
			result(t, r, outcome.Unknown, outcome.ReasonAnswerNotKept)
		}
	})
}

// timed returns a key that says when it was made.
func timed(at time.Time) Key {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(at))
	return key(id.String())
}

// A key that carries its time is refused once it is older than the retention,
// and only later is its row deleted: it can not be claimed a second time.
func TestTimedKeyIsRefusedBeforeItsRowGoes(t *testing.T) {
	inWorld(t, 1, Options{}, func(t *testing.T, w *world) {
		k := timed(time.Now())
		w.send(t, 0, k)
		for range 30 {
			time.Sleep(time.Hour)
			_, r := w.send(t, 0, k)
			assert.Check(t, r.Reason == outcome.ReasonStored || r.Reason == outcome.ReasonKeyExpired, "%s", r.Reason)
		}
		assert.Equal(t, rows(t, w, timedPrefix), 0)
		_, r := w.send(t, 0, timed(time.Now().Add(time.Hour)))
		result(t, r, outcome.Unknown, outcome.ReasonKeyMalformed)
		assert.Equal(t, len(w.target.runs), 1)
	})
}

func rows(t *testing.T, w *world, prefix string) int {
	t.Helper()
	list, err := w.store.Scan(context.Background(), prefix, "", 10_000)
	assert.NilError(t, err)
	return len(list)
}

// Opaque keys stay for good, or as long as the operator says; the sweep gets
// through more rows than it reads at a time, and leaves the young ones.
func TestOpaqueKeysStayForTheRetention(t *testing.T) {
	for _, c := range []struct {
		retention time.Duration
		left      int
	}{{0, 501}, {24 * time.Hour, 1}} {
		inWorld(t, 1, Options{OpaqueRetention: c.retention}, func(t *testing.T, w *world) {
			for i := range 500 {
				w.send(t, 0, key(fmt.Sprint("old", i)))
			}
			time.Sleep(24 * time.Hour)
			w.send(t, 0, key("young"))
			time.Sleep(time.Hour)
			assert.Equal(t, rows(t, w, opaquePrefix), c.left)
			// A key whose row has gone may run again: the host that ran it first
			// must not take that for a fault of its own.
			_, r := w.send(t, 0, key("old0"))
			assert.Equal(t, r.Reason == outcome.ReasonOK, c.retention > 0)
		})
	}
}

// A claim that its host held on to for as long as its row is only just safe may
// not be sent any more: the row may be gone and the key claimed anew.
func TestOldClaimIsNotSent(t *testing.T) {
	inWorld(t, 1, Options{OpaqueRetention: 24 * time.Hour}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		time.Sleep(13 * time.Hour)
		assert.Check(t, !c.BeginAttempt())
		assert.Equal(t, c.GiveUp(context.Background()).Outcome, outcome.Unknown)
	})
}

// slowStore holds its host up while a claim is given up.
type slowStore struct{ claimStore }

func (b slowStore) settle(ctx context.Context, c *Claim) {
	b.claimStore.settle(ctx, c)
	time.Sleep(time.Second)
}

// A host is paused after it marked a claim given up and before it tells its
// caller. A later send may have taken the key meanwhile, so the caller is told
// unknown.
func TestPauseBeforeNotRunIsTold(t *testing.T) {
	inWorld(t, 1, Options{}, func(t *testing.T, w *world) {
		c, _, _ := w.begin(t, 0, key("k"))
		c.store = slowStore{c.store}
		result(t, c.GiveUp(context.Background()), outcome.Unknown, outcome.ReasonKeyGivenUp)
	})
}

package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/ports"
)

// withWriter runs f with a running writer and a table that replies after 5 ms.
func withWriter(t *testing.T, f func(t *testing.T, s *store.Store, w *Writer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Limits{})
		s.SetFaults(store.Faults{Delay: 5 * time.Millisecond})
		w := NewWriter(s, Config{})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		f(t, s, w)
		cancel()
		assert.NilError(t, <-done)
	})
}

func insert(key, value string) Write {
	return Write{Op: ports.Op{Kind: ports.OpInsert, Key: key, Value: []byte(value)}}
}

func doAll(w *Writer, writes ...Write) []Result {
	results := make([]Result, len(writes))
	var wg sync.WaitGroup
	for i, wr := range writes {
		wg.Go(func() { results[i], _ = w.Do(context.Background(), wr) })
	}
	wg.Wait()
	return results
}

// The claims of a burst of a thousand calls are grouped into few transactions, and
// all are made within half a second at 20 transactions per second.
func TestManyWritesInFewTransactions(t *testing.T) {
	withWriter(t, func(t *testing.T, s *store.Store, w *Writer) {
		var writes []Write
		for i := range 1000 {
			writes = append(writes, insert(fmt.Sprint(i), "mine"))
		}
		began := time.Now()
		for _, r := range doAll(w, writes...) {
			assert.Check(t, r.Applied)
		}
		assert.Check(t, time.Since(began) < time.Second/2)
		commits, _ := s.OpCounts()
		assert.Check(t, commits < 12, "%d", commits)
	})
}

// Two of several claims are already taken. Their transaction applies nothing; these
// two writes get the conflicting row, and the others are committed by the next
// transaction.
func TestConflictDoesNotHoldUpTheOthers(t *testing.T) {
	withWriter(t, func(t *testing.T, s *store.Store, w *Writer) {
		doAll(w, insert("a", "theirs"), insert("c", "theirs"))
		results := doAll(w, insert("a", "mine"), insert("b", "mine"), insert("c", "mine"), insert("d", "mine"))
		for i, applied := range []bool{false, true, false, true} {
			assert.Equal(t, results[i].Applied, applied)
		}
		assert.Equal(t, string(results[0].Row.Value), "theirs")
	})
}

// The replies to writes are lost for a while. One write took effect and the other
// was in conflict; reading back tells them apart.
func TestLostAnswerIsReadBack(t *testing.T) {
	withWriter(t, func(t *testing.T, s *store.Store, w *Writer) {
		doAll(w, insert("taken", "theirs"))
		s.SetFaults(store.Faults{LoseReply: func() bool { return true }})
		results := doAll(w, insert("free", "mine"), insert("taken", "mine"))
		assert.Check(t, results[0].Applied)
		assert.Check(t, !results[1].Applied)
	})
}

// delayedFirstCommit loses the reply to the first commit and applies it a second
// later.
type delayedFirstCommit struct {
	ports.Table
	once sync.Once
	// onLoss, if set, is called when the reply was lost.
	onLoss func()
}

func (l *delayedFirstCommit) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	late := false
	l.once.Do(func() { late = true })
	if !late {
		return l.Table.Commit(ctx, ops...)
	}
	time.AfterFunc(time.Second, func() { _, _ = l.Table.Commit(context.Background(), ops...) })
	if l.onLoss != nil {
		l.onLoss()
	}
	return ports.CommitResult{}, errors.Wrap(ports.ErrUncertain, "reply lost")
}

// A write gets no reply and is not in its row when read back, so it is repeated;
// then the first one is applied too. The row is written once.
func TestDelayedWriteMeetsItsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Limits{})
		w := NewWriter(&delayedFirstCommit{Table: s}, Config{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }()
		r := doAll(w, insert("a", "mine"))[0]
		assert.Check(t, r.Applied)
		time.Sleep(2 * time.Second)
		rows, err := s.Get(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version, uint64(1))
		cancel()
	})
}

// A deadline passes during an outage: the write was refused each time and is
// canceled for certain. Another passes while the write is in flight: it may take
// effect, and the caller gets the result later.
func TestDeadlineTellsNotWrittenFromPending(t *testing.T) {
	withWriter(t, func(t *testing.T, s *store.Store, w *Writer) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.SetFaults(store.Faults{Down: true})
		_, err := w.Do(ctx, insert("down", "mine"))
		assert.Check(t, errors.Is(err, ErrNotWritten))
		s.SetFaults(store.Faults{Delay: 500 * time.Millisecond})
		time.Sleep(time.Second)

		ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		late := make(chan Result, 1)
		wr := insert("slow", "mine")
		wr.OnLateResult = func(r Result, err error) {
			assert.Check(t, err == nil)
			late <- r
		}
		_, err = w.Do(ctx, wr)
		assert.Check(t, errors.Is(err, ErrPending))
		assert.Check(t, (<-late).Applied)
		rows, err := s.Get(context.Background(), "down", "slow")
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version, uint64(0))
	})
}

// A write gets no reply, the store goes down, and the caller's deadline passes. The
// write may still be applied, so it must not be reported as not written.
func TestWriteThatMayLandIsNotTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Limits{})
		down := func() { s.SetFaults(store.Faults{Down: true}) }
		w := NewWriter(&delayedFirstCommit{Table: s, onLoss: down}, Config{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = w.Run(ctx) }()
		late := make(chan Result, 1)
		wr := insert("a", "mine")
		wr.OnLateResult = func(r Result, _ error) { late <- r }
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		_, err := w.Do(short, wr)
		assert.Assert(t, errors.Is(err, ErrPending), "%v", err)
		s.SetFaults(store.Faults{})
		assert.Check(t, (<-late).Applied)
	})
}

// Two requests with the same key are queued together. The table checks all
// conditions of a transaction before it writes, so both would pass in the same
// transaction.
func TestOneRowOnceInATransaction(t *testing.T) {
	withWriter(t, func(t *testing.T, _ *store.Store, w *Writer) {
		results := doAll(w, insert("a", "one"), insert("a", "two"))
		assert.Check(t, results[0].Applied != results[1].Applied)
	})
}

// Storing responses must not slow claims down: Settle writes join a transaction
// with claims, and get one of their own only if there is none.
func TestSettleWritesWaitForAClaim(t *testing.T) {
	withWriter(t, func(t *testing.T, s *store.Store, w *Writer) {
		settle := insert("answer", "done")
		settle.Class = Settle
		w.Go(settle)
		time.Sleep(50 * time.Millisecond)
		doAll(w, insert("claim", "mine"))
		commits, _ := s.OpCounts()
		assert.Equal(t, commits, uint64(1))
		settle.Op.Key = "other"
		w.Go(settle)
		time.Sleep(DefaultLinger + 10*time.Millisecond)
		assert.Equal(t, w.Backlog(), 0)
	})
}

// A caller repeats its key without a pause while the response to the first request
// waits to be stored. It must get that response soon: the holder's write goes
// before claims of the same row, which would all conflict with it.
func TestHolderIsNotStarvedByClaimsOfItsRow(t *testing.T) {
	withWriter(t, func(t *testing.T, _ *store.Store, w *Writer) {
		first := doAll(w, insert("a", "claimed"))[0]
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				for ctx.Err() == nil {
					_, _ = w.Do(ctx, insert("a", "again"))
				}
			})
		}
		began := time.Now()
		settle := Write{Class: Settle, Op: ports.Op{Kind: ports.OpUpdate, Key: "a", Version: first.Row.Version, Value: []byte("answer")}}
		res, err := w.Do(context.Background(), settle)
		stop()
		wg.Wait()
		assert.NilError(t, err)
		assert.Check(t, res.Applied)
		assert.Check(t, time.Since(began) < time.Second, "took %s", time.Since(began))
	})
}

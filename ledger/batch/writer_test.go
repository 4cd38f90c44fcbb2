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

// withWriter runs a scenario over a table that answers in 5 ms.
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

// A burst of a thousand calls needs claims at once. They go in transactions of
// many, and are all made within half a second at 20 transactions a second.
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

// Two of many claims are taken already. Their transaction applies nothing; the
// two learn who has their row, the others are claimed by the next transaction.
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

// The answers to writes are lost for a while. One write had taken effect, the
// other had met another's row; reading back tells them apart.
func TestLostAnswerIsReadBack(t *testing.T) {
	withWriter(t, func(t *testing.T, s *store.Store, w *Writer) {
		doAll(w, insert("taken", "theirs"))
		s.SetFaults(store.Faults{LoseReply: func() bool { return true }})
		results := doAll(w, insert("free", "mine"), insert("taken", "mine"))
		assert.Check(t, results[0].Applied)
		assert.Check(t, !results[1].Applied)
	})
}

// lateOnce loses the first answer, and lets that write land only after a while.
type lateOnce struct {
	ports.Table
	once sync.Once
	// then, if set, is called when the answer was lost.
	then func()
}

func (l *lateOnce) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	late := false
	l.once.Do(func() { late = true })
	if !late {
		return l.Table.Commit(ctx, ops...)
	}
	time.AfterFunc(time.Second, func() { _, _ = l.Table.Commit(context.Background(), ops...) })
	if l.then != nil {
		l.then()
	}
	return ports.CommitResult{}, errors.Wrap(ports.ErrUncertain, "answer lost")
}

// A write gets no answer and is not there when read back, so it is made again;
// then the first one lands. The row is written once.
func TestLateWriteLandsOnItsRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Limits{})
		w := NewWriter(&lateOnce{Table: s}, Config{})
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

// A caller's deadline ends during an outage: its write was refused each time and
// is taken back for good. Another's ends while its write is under way: it may
// take effect, and whoever asked for it is told later what became of it.
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
		wr.Late = func(r Result, err error) {
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

// A write gets no answer, the store goes down, and the caller's deadline ends. The write may land yet, so it must not be
// reported as taken back.
func TestWriteThatMayLandIsNotTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Limits{})
		down := func() { s.SetFaults(store.Faults{Down: true}) }
		w := NewWriter(&lateOnce{Table: s, then: down}, Config{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = w.Run(ctx) }()
		late := make(chan Result, 1)
		wr := insert("a", "mine")
		wr.Late = func(r Result, _ error) { late <- r }
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		_, err := w.Do(short, wr)
		assert.Assert(t, errors.Is(err, ErrPending), "%v", err)
		s.SetFaults(store.Faults{})
		assert.Check(t, (<-late).Applied)
	})
}

// Two sends of one key are queued together. The table checks all conditions of
// a transaction before it writes, so in one transaction both would pass.
func TestOneRowOnceInATransaction(t *testing.T) {
	withWriter(t, func(t *testing.T, _ *store.Store, w *Writer) {
		results := doAll(w, insert("a", "one"), insert("a", "two"))
		assert.Check(t, results[0].Applied != results[1].Applied)
	})
}

// Answers to store must not slow the claims down: they ride in a claim's
// transaction, and get one of their own only if none comes.
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

// A caller sends its key again without a pause while the first send's answer
// waits to be written down. It gets that answer soon: the holder's write goes
// before the claims of the same row, which would all meet it in conflict.
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

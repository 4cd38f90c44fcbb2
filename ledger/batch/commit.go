package batch

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Run commits writes until ctx ends, and returns once no transaction is in flight.
func (w *Writer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		if !w.awaitWork(ctx) {
			return nil
		}
		send := w.forward
		if !w.shouldForward() {
			send = w.commit
			if !w.awaitRateLimit(ctx) {
				return nil
			}
		}
		if !w.awaitSlot(ctx) {
			return nil
		}
		group := w.gather()
		if len(group) == 0 {
			<-w.slots
			continue
		}
		wg.Go(func() {
			send(group)
			<-w.slots
			w.signal()
		})
	}
}

// awaitRateLimit waits until the backoff and the rate limit allow a transaction.
// Writes that are queued meanwhile join it.
func (w *Writer) awaitRateLimit(ctx context.Context) bool {
	return ctxtime.Sleep(ctx, w.untilRetry()) && w.limiter.Wait(ctx) == nil
}

// awaitSlot acquires one of the slots for concurrent transactions.
func (w *Writer) awaitSlot(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitWork waits until there are writes that should be committed.
func (w *Writer) awaitWork(ctx context.Context) bool {
	for {
		wait := w.untilWork()
		if wait <= 0 {
			return true
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-w.wake:
		case <-ctx.Done():
			t.Stop()
			return false
		}
		t.Stop()
	}
}

// idleWait is how long to wait while the queues are empty; a new write ends the
// wait.
const idleWait = time.Hour

// untilWork returns how long the queued writes can wait. Writes that block a call
// can not wait. Settle writes can: a transaction of their own could make the next
// claim wait for the rate limiter.
func (w *Writer) untilWork() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queues[Claim]) > 0 || len(w.queues[GiveUp]) > 0 {
		return 0
	}
	settles := w.queues[Settle]
	if len(settles) == 0 {
		return idleWait
	}
	if len(settles) >= w.cfg.MaxOps {
		return 0
	}
	return max(w.cfg.Linger-time.Since(settles[0].enqueuedAt), w.untilSpareTokens())
}

// untilSpareTokens returns how long it takes until the rate limiter has tokens for
// one transaction now and still one for a claim.
func (w *Writer) untilSpareTokens() time.Duration {
	missing := minBurst - w.limiter.Tokens()
	return time.Duration(missing / float64(w.limiter.Limit()) * float64(time.Second))
}

func (w *Writer) untilRetry() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.retryAt)
}

// gather removes the writes of one transaction from the queues, claims first. A row
// is written at most once per transaction: the table checks all conditions before
// it writes, so two inserts of the same row would both pass and two requests would
// both hold the claim.
//
// A claim of a row for which the holder has a write queued goes after that write.
// Otherwise a caller that sends its key repeatedly would keep its own response from
// being stored, and would be told key-in-progress for minutes.
func (w *Writer) gather() []*entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group []*entry
	rows := make(map[string]bool)
	holders := w.holderRows()
	size := 0
	for c := range w.queues {
		var rest []*entry
		taken := 0
		for _, e := range w.queues[c] {
			full := taken >= w.cfg.MaxOps || len(group) > 0 && size+len(e.Op.Value) > w.cfg.MaxBytes
			afterHolder := Class(c) == Claim && holders[e.Op.Key]
			if full || rows[e.Op.Key] || afterHolder {
				rest = append(rest, e)
				continue
			}
			taken++
			rows[e.Op.Key] = true
			size += len(e.Op.Value)
			e.queued = false
			group = append(group, e)
		}
		w.queues[c] = rest
	}
	w.inFlight += len(group)
	return group
}

// holderRows returns the rows for which claim holders have writes queued.
func (w *Writer) holderRows() map[string]bool {
	held := make(map[string]bool)
	for c := GiveUp; c < numClasses; c++ {
		for _, e := range w.queues[c] {
			held[e.Op.Key] = true
		}
	}
	return held
}

// commit makes one transaction, and settles or requeues each of its writes.
func (w *Writer) commit(group []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.Timeout)
	defer cancel()
	w.cfg.Count(countCommits, 1)
	res, err := w.table.Commit(ctx, ops(group)...)
	switch {
	case err == nil && res.Applied:
		w.cfg.Count(countWrites, int64(len(group)))
		w.resetBackoff()
		w.settleApplied(group)
	case err == nil:
		w.cfg.Count(countConflicts, 1)
		w.resetBackoff()
		w.settleConflicts(group, res.Conflicts)
	case errors.Is(err, ports.ErrUnavailable):
		w.cfg.Count(countRefused, 1)
		w.backOff()
		w.requeue(group)
	default:
		w.cfg.Count(countUncertain, 1)
		w.readBack(group)
	}
}

func ops(group []*entry) []ports.Op {
	list := make([]ports.Op, len(group))
	for i, e := range group {
		list[i] = e.Op
	}
	return list
}

func (w *Writer) settleApplied(group []*entry) {
	for _, e := range group {
		w.settle(e, outcome{res: Result{Applied: true, Row: writtenRow(e.Op)}})
	}
}

// writtenRow returns the row that results from an applied operation.
func writtenRow(op ports.Op) ports.Row {
	if op.Kind == ports.OpDelete {
		return ports.Row{Key: op.Key}
	}
	return ports.Row{Key: op.Key, Version: op.Version + 1, Value: op.Value}
}

// settleConflicts settles the writes that were in conflict and requeues the rest: a
// transaction with one conflict applies nothing at all.
func (w *Writer) settleConflicts(group []*entry, conflicts []ports.Row) {
	conflicting := make(map[string]ports.Row, len(conflicts))
	for _, r := range conflicts {
		conflicting[r.Key] = r
	}
	var rest []*entry
	for _, e := range group {
		row, conflict := conflicting[e.Op.Key]
		if !conflict {
			rest = append(rest, e)
			continue
		}
		w.settle(e, outcome{res: Result{Applied: isWritten(e.Op, row), Row: row}})
	}
	w.requeue(rest)
}

// isWritten reports whether a row is as the operation leaves it. Every value
// contains the unique ID of its claim, so an equal value was written by this
// operation, which took effect although its reply was lost.
func isWritten(op ports.Op, row ports.Row) bool {
	if op.Kind == ports.OpDelete {
		return row.Version == 0
	}
	return row.Version > 0 && bytes.Equal(row.Value, op.Value)
}

// readBack determines the result of a transaction whose reply was lost. A write
// that is not in its row may still be applied later, so it is repeated: its
// condition lets only one of the two take effect, and the value tells whose it was.
func (w *Writer) readBack(group []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.Timeout)
	defer cancel()
	rowKeys := make([]string, len(group))
	for i, e := range group {
		rowKeys[i] = e.Op.Key
		e.uncertain = true
	}
	rows, err := w.table.Get(ctx, rowKeys...)
	if err != nil || len(rows) != len(group) {
		w.backOff()
		w.requeue(group)
		return
	}
	var rest []*entry
	for i, e := range group {
		if isWritten(e.Op, rows[i]) {
			w.settle(e, outcome{res: Result{Applied: true, Row: rows[i]}})
			continue
		}
		if rows[i].Version > e.Op.Version {
			w.settle(e, outcome{res: Result{Row: rows[i]}})
			continue
		}
		rest = append(rest, e)
	}
	w.requeue(rest)
}

// settle delivers a result to the waiting caller or to OnLateResult.
func (w *Writer) settle(e *entry, o outcome) {
	w.mu.Lock()
	w.inFlight--
	abandoned := e.abandoned
	if !abandoned {
		e.done <- o
	}
	w.mu.Unlock()
	if abandoned && e.OnLateResult != nil {
		e.OnLateResult(o.res, o.err)
	}
}

// requeue puts writes back at the head of their queues. An abandoned write that can
// not have taken effect is dropped instead.
func (w *Writer) requeue(group []*entry) {
	var dropped []*entry
	w.mu.Lock()
	var back [numClasses][]*entry
	for _, e := range group {
		if e.abandoned && !e.uncertain {
			dropped = append(dropped, e)
			continue
		}
		e.queued = true
		w.inFlight--
		back[e.Class] = append(back[e.Class], e)
	}
	for c := range back {
		w.queues[c] = append(back[c], w.queues[c]...)
	}
	w.mu.Unlock()
	for _, e := range dropped {
		w.settle(e, outcome{err: ErrNotWritten})
	}
	w.signal()
}

func (w *Writer) resetBackoff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backoff = 0
}

func (w *Writer) backOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.retryAt = time.Now().Add(w.backoff)
}

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

// Run commits until ctx ends, and returns once no transaction is under way.
func (w *Writer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		if !w.awaitWork(ctx) {
			return nil
		}
		send := w.forward
		if !w.forwards() {
			send = w.commit
			if !w.awaitTurn(ctx) {
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

// awaitTurn waits until this host may make a transaction. Writes that come
// meanwhile join it.
func (w *Writer) awaitTurn(ctx context.Context) bool {
	return ctxtime.Sleep(ctx, w.untilSoon()) && w.limiter.Wait(ctx) == nil
}

// awaitSlot takes one of the slots for transactions under way.
func (w *Writer) awaitSlot(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitWork waits until a transaction is worth making.
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

// idle is how long to wait without any write; a new one ends the wait.
const idle = time.Hour

// untilWork returns how long the queued writes can wait. Those that hold up a
// call can not. Settle writes can: a transaction of their own would leave the
// next claim to wait for its turn under the limit.
func (w *Writer) untilWork() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queues[Claim]) > 0 || len(w.queues[GiveUp]) > 0 {
		return 0
	}
	settles := w.queues[Settle]
	if len(settles) == 0 {
		return idle
	}
	if len(settles) >= w.cfg.MaxOps {
		return 0
	}
	return max(w.cfg.Linger-time.Since(settles[0].since), w.untilSpare())
}

// untilSpare returns how long it takes until the limit leaves a transaction to
// a claim after one more.
func (w *Writer) untilSpare() time.Duration {
	missing := minBurst - w.limiter.Tokens()
	return time.Duration(missing / float64(w.limiter.Limit()) * float64(time.Second))
}

func (w *Writer) untilSoon() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.notSoon)
}

// gather takes the writes of one transaction, claims first. No row is written
// twice in one: the table checks all conditions before it writes, so two
// inserts of one row would both pass and two sends would both hold the claim.
//
// A claim of a row whose holder has a write queued goes after that write. Were
// it first, a caller that sends its key again and again would keep its own answer
// from ever being written down, and would be told key-in-progress for minutes.
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
			behind := Class(c) == Claim && holders[e.Op.Key]
			if full || rows[e.Op.Key] || behind {
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
	w.underway += len(group)
	return group
}

// holderRows returns the rows that holders of claims have writes queued for.
func (w *Writer) holderRows() map[string]bool {
	held := make(map[string]bool)
	for c := GiveUp; c < classes; c++ {
		for _, e := range w.queues[c] {
			held[e.Op.Key] = true
		}
	}
	return held
}

// commit makes one transaction and settles or queues again each of its writes.
func (w *Writer) commit(group []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.Timeout)
	defer cancel()
	w.cfg.Count(countCommits, 1)
	res, err := w.table.Commit(ctx, ops(group)...)
	switch {
	case err == nil && res.Applied:
		w.cfg.Count(countWrites, int64(len(group)))
		w.calm()
		w.settleApplied(group)
	case err == nil:
		w.cfg.Count(countConflicts, 1)
		w.calm()
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
		w.settle(e, outcome{res: Result{Applied: true, Row: written(e.Op)}})
	}
}

// written is the row that an applied operation leaves.
func written(op ports.Op) ports.Row {
	if op.Kind == ports.OpDelete {
		return ports.Row{Key: op.Key}
	}
	return ports.Row{Key: op.Key, Version: op.Version + 1, Value: op.Value}
}

// settleConflicts answers the writes that were in conflict and queues the rest
// again: a transaction with one conflict applies nothing at all.
func (w *Writer) settleConflicts(group []*entry, conflicts []ports.Row) {
	inWay := make(map[string]ports.Row, len(conflicts))
	for _, r := range conflicts {
		inWay[r.Key] = r
	}
	var rest []*entry
	for _, e := range group {
		row, conflict := inWay[e.Op.Key]
		if !conflict {
			rest = append(rest, e)
			continue
		}
		w.settle(e, outcome{res: Result{Applied: isWritten(e.Op, row), Row: row}})
	}
	w.requeue(rest)
}

// isWritten reports whether a row is as the operation leaves it. Every value
// holds the unique identity of its claim, so an equal value is this write's own,
// which took effect although its answer was lost.
func isWritten(op ports.Op, row ports.Row) bool {
	if op.Kind == ports.OpDelete {
		return row.Version == 0
	}
	return row.Version > 0 && bytes.Equal(row.Value, op.Value)
}

// readBack finds out what a transaction without an answer did. A write that is
// not in its row may still get there, so it is made again: its condition lets
// only one of the two take effect, and the value tells whose it was.
func (w *Writer) readBack(group []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.Timeout)
	defer cancel()
	names := make([]string, len(group))
	for i, e := range group {
		names[i] = e.Op.Key
		e.maybe = true
	}
	rows, err := w.table.Get(ctx, names...)
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

// settle hands a result to whoever waits for it.
func (w *Writer) settle(e *entry, o outcome) {
	w.mu.Lock()
	w.underway--
	abandoned := e.abandoned
	if !abandoned {
		e.done <- o
	}
	w.mu.Unlock()
	if abandoned && e.Late != nil {
		e.Late(o.res, o.err)
	}
}

// requeue puts writes back at the head of their queues. A write that nobody
// waits for and that can not have taken effect is dropped instead.
func (w *Writer) requeue(group []*entry) {
	var dropped []*entry
	w.mu.Lock()
	var back [classes][]*entry
	for _, e := range group {
		if e.abandoned && !e.maybe {
			dropped = append(dropped, e)
			continue
		}
		e.queued = true
		w.underway--
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

func (w *Writer) calm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = 0
}

func (w *Writer) backOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = min(max(2*w.pause, firstPause), lastPause)
	w.notSoon = time.Now().Add(w.pause)
}

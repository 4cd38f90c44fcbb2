package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/ledger/batch"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
)

// tableStore stores claims as rows of the platform's table.
type tableStore struct {
	l     *Ledger
	table ports.Table
}

// take inserts the claim's row if the key has none, and otherwise decides by the
// existing row.
//
// If the claim can not be made, the result is unknown even if nothing of it reached
// the table: an earlier request with the key may have run on another host, which
// only the table could tell.
func (b *tableStore) take(ctx context.Context, c *Claim) verdict {
	c.stampNow()
	op := ports.Op{Kind: ports.OpInsert, Key: c.row, Value: c.record().encode()}
	for {
		res, err := b.l.writer.Do(ctx, b.claimWrite(c, op))
		if errors.Is(err, batch.ErrNotWritten) {
			b.l.removeActive(c)
			return resultVerdict(outcome.Uncertain(outcome.ReasonStoreUnavailable))
		}
		if err != nil {
			return resultVerdict(outcome.Uncertain(outcome.ReasonClaimUnknown))
		}
		if res.Applied {
			c.setVersion(res.Row.Version)
			return verdict{take: true}
		}
		v := b.judgeRow(c, res.Row)
		if !v.take {
			b.l.removeActive(c)
			return v
		}
		b.l.counts.Add("claims_retaken", 1)
		c.stampNow()
		op = takeOverOp(res.Row, c.record())
	}
}

// takeOverOp replaces a row whose holder gave the key up, or inserts it if the row
// was deleted meanwhile.
func takeOverOp(row ports.Row, r record) ports.Op {
	kind := ports.OpUpdate
	if row.Version == 0 {
		kind = ports.OpInsert
	}
	return ports.Op{Kind: kind, Key: row.Key, Version: row.Version, Value: r.encode()}
}

// judgeRow decides by the row that caused a conflict.
func (b *tableStore) judgeRow(c *Claim, row ports.Row) verdict {
	if row.Version == 0 {
		return verdict{take: true}
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		b.l.log.Error("failed to decode claim record", zap.String("row", row.Key), zap.Error(err))
		return resultVerdict(outcome.Uncertain(outcome.ReasonClaimUnknown))
	}
	return b.l.judge(r, c.key, time.Now())
}

// claimWrite returns the write of a claim. If the caller's deadline passes first,
// the claim may still be applied with nobody left to use it; it is then given up,
// so that a later request can take the key.
func (b *tableStore) claimWrite(c *Claim, op ports.Op) batch.Write {
	onLate := func(res batch.Result, err error) {
		if err != nil || !res.Applied {
			b.l.removeActive(c)
			return
		}
		b.l.counts.Add("claims_late", 1)
		c.setVersion(res.Row.Version)
		c.markOwned(phaseClaiming)
		c.end(phaseClaiming, stateGivenUp, nil)
		c.settleLater()
	}
	return batch.Write{Class: batch.Claim, Op: op, OnLateResult: onLate}
}

// settle writes the end of the claim to its row.
func (b *tableStore) settle(ctx context.Context, c *Claim) {
	r := c.record()
	onDone := func(res batch.Result, _ error) { b.settled(c, res) }
	w := batch.Write{Class: batch.Settle, Op: c.updateOp(r), OnLateResult: onDone}
	if r.State == stateGivenUp {
		w.Class = batch.GiveUp
	}
	if ctx.Err() != nil {
		b.l.writer.Go(w)
		return
	}
	res, err := b.l.writer.Do(ctx, w)
	switch {
	case err == nil:
		onDone(res, nil)
	case errors.Is(err, batch.ErrNotWritten):
		b.l.writer.Go(w)
	}
}

func (b *tableStore) settled(c *Claim, res batch.Result) {
	c.close()
	if !res.Applied {
		b.l.log.Warn("claim row was changed by another writer",
			zap.String("claim", c.id.String()), zap.Uint64("version", res.Row.Version))
	}
}

func (c *Claim) updateOp(r record) ports.Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ports.Op{Kind: ports.OpUpdate, Key: c.row, Version: c.version, Value: r.encode()}
}

func (c *Claim) setVersion(v uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = v
}

func (c *Claim) stampNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp = time.Now().Round(0)
}

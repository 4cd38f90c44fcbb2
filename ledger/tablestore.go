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

// tableStore keeps claims as rows of the platform's table.
type tableStore struct {
	l     *Ledger
	table ports.Table
}

// take inserts the claim's row if the key has none, or else does what the
// present row allows.
//
// A send that could not make its claim is told unknown, even if nothing of it
// reached the table: an earlier send of the key may have run from another host,
// and only the table could tell.
func (b *tableStore) take(ctx context.Context, c *Claim) verdict {
	c.restamp()
	op := ports.Op{Kind: ports.OpInsert, Key: c.row, Value: c.record().encode()}
	for {
		res, err := b.l.writer.Do(ctx, b.claimWrite(c, op))
		if errors.Is(err, batch.ErrNotWritten) {
			b.l.forget(c)
			return tell(outcome.Uncertain(outcome.ReasonStoreUnavailable))
		}
		if err != nil {
			return tell(outcome.Uncertain(outcome.ReasonClaimUnknown))
		}
		if res.Applied {
			c.setVersion(res.Row.Version)
			return verdict{take: true}
		}
		v := b.read(c, res.Row)
		if !v.take {
			b.l.forget(c)
			return v
		}
		b.l.counts.Add("claims_retaken", 1)
		c.restamp()
		op = takeOver(res.Row, c.record())
	}
}

// takeOver writes a claim over a row that its holder gave up, or inserts it if
// the row was deleted meanwhile.
func takeOver(row ports.Row, r record) ports.Op {
	kind := ports.OpUpdate
	if row.Version == 0 {
		kind = ports.OpInsert
	}
	return ports.Op{Kind: kind, Key: row.Key, Version: row.Version, Value: r.encode()}
}

// read judges the row that was in the way of a claim.
func (b *tableStore) read(c *Claim, row ports.Row) verdict {
	if row.Version == 0 {
		return verdict{take: true}
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		b.l.log.Error("claim unreadable", zap.String("row", row.Key), zap.Error(err))
		return tell(outcome.Uncertain(outcome.ReasonClaimUnknown))
	}
	return b.l.judge(r, c.key, time.Now())
}

// claimWrite is the write of a claim. If its caller's deadline ends first, the
// claim may be in the table with nobody to send it: then it is given up, so
// that a later send can take the key.
func (b *tableStore) claimWrite(c *Claim, op ports.Op) batch.Write {
	late := func(res batch.Result, err error) {
		if err != nil || !res.Applied {
			b.l.forget(c)
			return
		}
		b.l.counts.Add("claims_late", 1)
		c.setVersion(res.Row.Version)
		c.own(phaseTaking)
		c.end(phaseTaking, stateGivenUp, nil)
		c.settleLater()
	}
	return batch.Write{Class: batch.Claim, Op: op, Late: late}
}

// settle writes the claim's end over its own row.
func (b *tableStore) settle(ctx context.Context, c *Claim) {
	r := c.record()
	done := func(res batch.Result, _ error) { b.settled(c, res) }
	w := batch.Write{Class: batch.Settle, Op: c.update(r), Late: done}
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
		done(res, nil)
	case errors.Is(err, batch.ErrNotWritten):
		b.l.writer.Go(w)
	}
}

func (b *tableStore) settled(c *Claim, res batch.Result) {
	c.close()
	if !res.Applied {
		b.l.log.Warn("claim changed under its holder",
			zap.String("claim", c.id.String()), zap.Uint64("version", res.Row.Version))
	}
}

func (c *Claim) update(r record) ports.Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ports.Op{Kind: ports.OpUpdate, Key: c.row, Version: c.version, Value: r.encode()}
}

func (c *Claim) setVersion(v uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = v
}

func (c *Claim) restamp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp = time.Now().Round(0)
}

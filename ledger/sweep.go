package ledger

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/ports"
)

// sweepBatch limits the number of rows read and deleted by one step of the sweep.
const sweepBatch = 200

// sweep deletes expired rows until ctx ends, with one read and at most one
// transaction per step. Every host sweeps; a row that another host deletes first
// costs only a read.
func (b *tableStore) sweep(ctx context.Context) error {
	if b.l.opts.SweepInterval < 0 {
		return nil
	}
	s := sweeper{b: b}
	for ctxtime.Sleep(ctx, s.interval()) {
		if err := s.step(ctx); err != nil {
			b.l.counts.Add("sweeps_failed", 1)
			b.l.log.Warn("sweep failed", zap.Error(err))
		}
	}
	return nil
}

// sweeper alternates between rows of timed keys and of opaque keys.
type sweeper struct {
	b *tableStore
	// after is the last opaque row that was read.
	after     string
	timedTurn bool
}

// interval returns the randomized time until the next step, so that the steps of
// different hosts are spread.
func (s *sweeper) interval() time.Duration {
	every := s.b.l.opts.SweepInterval
	return every/2 + rand.N(every)
}

func (s *sweeper) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	s.timedTurn = !s.timedTurn
	if s.timedTurn || s.b.l.opts.OpaqueRetention <= 0 {
		return s.sweepTimed(ctx)
	}
	return s.sweepOpaque(ctx)
}

const sweepTimeout = 5 * time.Second

// sweepTimed deletes the oldest rows of timed keys. Such a key is already refused
// when its row is deleted, so it can not be claimed a second time.
func (s *sweeper) sweepTimed(ctx context.Context) error {
	rows, err := s.b.table.Scan(ctx, timedPrefix, "", sweepBatch)
	if err != nil {
		return err
	}
	keep := s.b.l.opts.Retention + clockTolerance
	var expired []ports.Row
	for _, r := range rows {
		hour, ok := rowHour(r.Key)
		if !ok || time.Since(hour.Add(time.Hour)) <= keep {
			break
		}
		expired = append(expired, r)
	}
	return s.deleteRows(ctx, expired)
}

func rowHour(name string) (time.Time, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(name, timedPrefix), "/")
	if !ok {
		return time.Time{}, false
	}
	t, err := time.Parse(hourLayout, text)
	return t, err == nil
}

// sweepOpaque deletes rows of opaque keys that were not changed during
// OpaqueRetention.
func (s *sweeper) sweepOpaque(ctx context.Context) error {
	rows, err := s.b.table.Scan(ctx, opaquePrefix, s.after, sweepBatch)
	if err != nil {
		return err
	}
	s.after = ""
	if len(rows) == sweepBatch {
		s.after = rows[len(rows)-1].Key
	}
	var expired []ports.Row
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err == nil && time.Since(r.stamped()) > s.b.l.opts.OpaqueRetention+clockTolerance {
			expired = append(expired, row)
		}
	}
	return s.deleteRows(ctx, expired)
}

func (s *sweeper) deleteRows(ctx context.Context, rows []ports.Row) error {
	if len(rows) == 0 {
		return nil
	}
	ops := make([]ports.Op, len(rows))
	for i, r := range rows {
		ops[i] = ports.Op{Kind: ports.OpDelete, Key: r.Key, Version: r.Version}
	}
	res, err := s.b.table.Commit(ctx, ops...)
	if err == nil && res.Applied {
		s.b.l.counts.Add("rows_swept", int64(len(rows)))
	}
	return err
}

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

// sweepRows bounds the rows read and deleted by one step of the sweep.
const sweepRows = 200

// sweep deletes expired rows until ctx ends, one read and at most one
// transaction a step. Every host sweeps; a row that another host deleted first
// costs no more than a read.
func (b *tableStore) sweep(ctx context.Context) error {
	if b.l.opts.SweepEvery < 0 {
		return nil
	}
	s := sweeper{b: b}
	for ctxtime.Sleep(ctx, s.pause()) {
		if err := s.step(ctx); err != nil {
			b.l.counts.Add("sweeps_failed", 1)
			b.l.log.Warn("sweep failed", zap.Error(err))
		}
	}
	return nil
}

// sweeper takes turns between the keys that carry their time and the others.
type sweeper struct {
	b *tableStore
	// after is the last opaque row that was read.
	after string
	turn  bool
}

// pause spreads the hosts' steps.
func (s *sweeper) pause() time.Duration {
	every := s.b.l.opts.SweepEvery
	return every/2 + rand.N(every)
}

func (s *sweeper) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	s.turn = !s.turn
	if s.turn || s.b.l.opts.OpaqueRetention <= 0 {
		return s.timed(ctx)
	}
	return s.opaque(ctx)
}

const sweepTimeout = 5 * time.Second

// timed deletes the oldest rows of keys that carry their time. Such a key is
// refused before its row may go, so no second claim can be made.
func (s *sweeper) timed(ctx context.Context) error {
	rows, err := s.b.table.Scan(ctx, timedPrefix, "", sweepRows)
	if err != nil {
		return err
	}
	keep := s.b.l.opts.Retention + clockSlack
	var old []ports.Row
	for _, r := range rows {
		hour, ok := hourOf(r.Key)
		if !ok || time.Since(hour.Add(time.Hour)) <= keep {
			break
		}
		old = append(old, r)
	}
	return s.remove(ctx, old)
}

func hourOf(name string) (time.Time, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(name, timedPrefix), "/")
	if !ok {
		return time.Time{}, false
	}
	t, err := time.Parse(hourLayout, text)
	return t, err == nil
}

// opaque deletes rows that did not change for the operator's retention.
func (s *sweeper) opaque(ctx context.Context) error {
	rows, err := s.b.table.Scan(ctx, opaquePrefix, s.after, sweepRows)
	if err != nil {
		return err
	}
	s.after = ""
	if len(rows) == sweepRows {
		s.after = rows[len(rows)-1].Key
	}
	var old []ports.Row
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err == nil && time.Since(r.stamped()) > s.b.l.opts.OpaqueRetention+clockSlack {
			old = append(old, row)
		}
	}
	return s.remove(ctx, old)
}

func (s *sweeper) remove(ctx context.Context, rows []ports.Row) error {
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

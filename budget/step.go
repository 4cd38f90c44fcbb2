package budget

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/ports"
)

// task is the action that a step takes for a workspace.
type task uint8

const (
	taskNone task = iota
	taskTake
	taskRenew
	taskReadBack
	taskRelease
)

// step takes the next action for one workspace. Steps run one at a time. Begin runs
// concurrently with them and never waits for the table.
func (s *Shares) step(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.StoreTimeout)
	defer cancel()
	switch s.next(name) {
	case taskTake:
		s.take(ctx, name)
	case taskRenew:
		s.renew(ctx, name)
	case taskReadBack:
		s.readBack(ctx, name)
	case taskRelease:
		s.release(ctx, name)
	}
}

func (s *Shares) next(name string) task {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	w := s.workspace(name)
	plan := s.plan(name)
	wanted := plan.Shares > 0 && now.Sub(w.lastRequested) < s.timing.IdleTimeout
	l := w.lease
	switch {
	case l == nil && wanted && !now.Before(w.retakeAfter):
		return taskTake
	case l == nil:
		return taskNone
	case !l.covers(now, 0):
		s.dropShare(w, "lease expired")
		return taskNone
	case !wanted || l.index >= plan.Shares || now.Sub(l.heldSince) >= s.timing.MaxHold:
		return taskRelease
	case l.uncertain != nil:
		return taskReadBack
	case elapsed(l.requestedAt, now) >= l.duration/2:
		return taskRenew
	default:
		return taskNone
	}
}

// dropShare gives up a share without releasing its row. The caller holds the lock.
func (s *Shares) dropShare(w *workspace, reason string) {
	w.lease = nil
	s.count.Add(countLost, 1)
	s.log.Info("probe budget share lost", zap.String("workspace", w.name), zap.String("why", reason))
}

// take reads the rows and tries to acquire a free share.
func (s *Shares) take(ctx context.Context, name string) {
	s.mu.Lock()
	plan := s.plan(name)
	s.mu.Unlock()
	keys := make([]string, plan.Shares)
	for i := range keys {
		keys[i] = rowKey(name, i)
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		s.countStoreError(err)
		return
	}
	if f, ok := s.findFree(name, rows, plan); ok {
		s.acquire(ctx, name, f, plan)
	}
}

// freeShare is a share that may be taken.
type freeShare struct {
	index int
	view  rowView
	spent time.Duration
}

// findFree records the rows that were read and returns a free share, if any.
func (s *Shares) findFree(name string, rows []ports.Row, p Plan) (freeShare, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	w := s.workspace(name)
	for n, r := range rows {
		w.rows[n].update(now, r)
	}
	for n := range rows {
		if spent, ok := w.rows[n].available(now, s.timing.Margin, p.PerShare); ok {
			return freeShare{index: n, view: w.rows[n], spent: spent}, true
		}
	}
	return freeShare{}, false
}

// acquire writes the row of a free share.
func (s *Shares) acquire(ctx context.Context, name string, f freeShare, p Plan) {
	s.mu.Lock()
	l := &lease{
		index: f.index, version: f.view.version + 1, nonce: s.nonce(), duration: s.timing.Lease,
	}
	s.mu.Unlock()
	l.costs.retention = max(s.accountingWindow(p), f.view.share.Window)
	l.requestedAt = time.Now()
	if !s.write(ctx, name, l, f.view.version, s.heldRow(l, l.nonce, p)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l.heldSince = now
	// The spending of the last holder counts as of now, which is not earlier than
	// it really was.
	l.costs.add(now, f.spent)
	s.workspace(name).lease = l
	s.count.Add(countTaken, 1)
	s.log.Info("probe budget share acquired", zap.String("workspace", name), zap.Int("share", f.index))
}

// heldRow returns the row value of a share held by this host.
func (s *Shares) heldRow(l *lease, nonce string, p Plan) share {
	return share{
		Holder: s.self, Nonce: nonce, Lease: s.timing.Lease, Spent: p.PerShare,
		Window: l.costs.retention,
	}
}

// write writes the row if it still has the given version, and reports whether it
// did. If the reply is lost, the row is read back once.
func (s *Shares) write(ctx context.Context, name string, l *lease, version uint64, v share) bool {
	op := ports.Op{Kind: ports.OpUpdate, Key: rowKey(name, l.index), Version: version, Value: v.encode()}
	if version == 0 {
		op.Kind = ports.OpInsert
	}
	res, err := s.table.Commit(ctx, op)
	if errors.Is(err, ports.ErrUncertain) {
		s.countStoreError(err)
		r, current, err := s.read(ctx, name, l.index)
		return err == nil && current.Nonce == v.Nonce && r.Version == version+1
	}
	if err != nil {
		s.countStoreError(err)
		return false
	}
	if !res.Applied {
		s.count.Add(countConflict, 1)
	}
	return res.Applied
}

func (s *Shares) read(ctx context.Context, name string, i int) (ports.Row, share, error) {
	rows, err := s.table.Get(ctx, rowKey(name, i))
	if err != nil {
		s.countStoreError(err)
		return ports.Row{}, share{}, err
	}
	var v share
	if rows[0].Version > 0 {
		err = msgpack.Unmarshal(rows[0].Value, &v)
	}
	return rows[0], v, err
}

func (s *Shares) countStoreError(err error) {
	if errors.Is(err, ports.ErrUncertain) {
		s.count.Add(countUncertain, 1)
		return
	}
	s.count.Add(countUnavailable, 1)
}

// renew extends the lease. Until the table has replied, the current lease continues
// unextended.
func (s *Shares) renew(ctx context.Context, name string) {
	s.mu.Lock()
	l := s.workspace(name).lease
	r := renewal{nonce: s.nonce(), requestedAt: time.Now()}
	version := l.version
	v := s.heldRow(l, r.nonce, s.plan(name))
	s.mu.Unlock()
	op := ports.Op{Kind: ports.OpUpdate, Key: rowKey(name, l.index), Version: version, Value: v.encode()}
	res, err := s.table.Commit(ctx, op)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, ports.ErrUncertain):
		s.countStoreError(err)
		l.uncertain = &r
	case err != nil:
		s.countStoreError(err)
	case !res.Applied:
		s.dropShare(s.workspace(name), "taken by another host")
	default:
		l.nonce, l.requestedAt = r.nonce, r.requestedAt
		l.version = version + 1
		s.count.Add(countRenewed, 1)
	}
}

// readBack determines whether a renewal whose reply was lost took effect.
func (s *Shares) readBack(ctx context.Context, name string) {
	s.mu.Lock()
	l := s.workspace(name).lease
	s.mu.Unlock()
	r, v, err := s.read(ctx, name, l.index)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.resolveRenewal(r, v) {
		s.dropShare(s.workspace(name), "taken by another host")
	}
}

// release releases a share, so that other hosts can take it immediately. This host
// stops using it before the row is written; if the write fails, others wait until
// the lease has expired.
func (s *Shares) release(ctx context.Context, name string) {
	s.mu.Lock()
	w := s.workspace(name)
	l := w.lease
	w.lease = nil
	now := time.Now()
	w.retakeAfter = now.Add(2 * s.timing.PollInterval)
	v := share{Holder: s.self, Nonce: s.nonce(), Released: true, Window: l.costs.retention}
	v.Spent = l.costs.total(now, l.costs.retention)
	version := l.version
	s.mu.Unlock()
	s.count.Add(countReleased, 1)
	s.write(ctx, name, l, version, v)
}

func (s *Shares) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.StoreTimeout)
	defer cancel()
	for _, name := range s.heldNames() {
		s.release(ctx, name)
	}
}

func (s *Shares) heldNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, w := range s.workspaces {
		if w.lease != nil {
			out = append(out, name)
		}
	}
	return out
}

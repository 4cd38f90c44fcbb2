package budget

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/ports"
)

// task is what a step decided to do with a workspace's rows.
type task uint8

const (
	taskNone task = iota
	taskTake
	taskRenew
	taskReadBack
	taskRelease
)

// step does what is next for one workspace. Steps run one at a time; Begin runs
// beside them, and never waits for the table.
func (s *Shares) step(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.StoreTimeout)
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
	wanted := plan.Shares > 0 && now.Sub(w.wanted) < s.limits.IdleRelease
	l := w.held
	switch {
	case l == nil && wanted && !now.Before(w.after):
		return taskTake
	case l == nil:
		return taskNone
	case !l.covers(now, 0):
		s.lose(w, "lease ran out")
		return taskNone
	case !wanted || l.index >= plan.Shares || now.Sub(l.since) >= s.limits.MaxHold:
		return taskRelease
	case l.unsure != nil:
		return taskReadBack
	case elapsed(l.asked, now) >= l.length/2:
		return taskRenew
	default:
		return taskNone
	}
}

// lose drops a share. The caller holds the lock.
func (s *Shares) lose(w *workspace, why string) {
	w.held = nil
	s.count.Add(countLost, 1)
	s.log.Info("probing share lost", zap.String("workspace", w.name), zap.String("why", why))
}

// take reads the rows and tries to get a free one.
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
		s.failed(err)
		return
	}
	if f, ok := s.choose(name, rows, plan); ok {
		s.claim(ctx, name, f, plan)
	}
}

// found is a free share.
type found struct {
	index int
	view  view
	spent time.Duration
}

// choose takes in the rows and returns a free one.
func (s *Shares) choose(name string, rows []ports.Row, p Plan) (found, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	w := s.workspace(name)
	for n, r := range rows {
		w.views[n].update(now, r)
	}
	for n := range rows {
		if spent, ok := w.views[n].free(now, s.limits.Margin, p.PerShare); ok {
			return found{index: n, view: w.views[n], spent: spent}, true
		}
	}
	return found{}, false
}

// claim writes the row of a free share.
func (s *Shares) claim(ctx context.Context, name string, f found, p Plan) {
	s.mu.Lock()
	l := &lease{index: f.index, version: f.view.version + 1, nonce: s.nonce(), length: s.limits.Lease}
	s.mu.Unlock()
	l.spent.keep = max(s.span(p), f.view.share.Window)
	l.asked = time.Now()
	if !s.write(ctx, name, l, f.view.version, s.holding(l, l.nonce, p)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l.since = now
	// What the last holder spent counts as spent now: it was not later.
	l.spent.add(now, f.spent)
	s.workspace(name).held = l
	s.count.Add(countTaken, 1)
	s.log.Info("probing share taken", zap.String("workspace", name), zap.Int("share", f.index))
}

// holding is the row of a share that this host holds.
func (s *Shares) holding(l *lease, nonce string, p Plan) share {
	return share{Holder: s.self, Nonce: nonce, Lease: s.limits.Lease, Spent: p.PerShare, Window: l.spent.keep}
}

// write writes the row if it still has the version; a lost answer is resolved by
// reading back, once.
func (s *Shares) write(ctx context.Context, name string, l *lease, version uint64, v share) bool {
	op := ports.Op{Kind: ports.OpUpdate, Key: rowKey(name, l.index), Version: version, Value: v.encode()}
	if version == 0 {
		op.Kind = ports.OpInsert
	}
	res, err := s.table.Commit(ctx, op)
	if errors.Is(err, ports.ErrUncertain) {
		s.failed(err)
		r, now, err := s.read(ctx, name, l.index)
		return err == nil && now.Nonce == v.Nonce && r.Version == version+1
	}
	if err != nil {
		s.failed(err)
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
		s.failed(err)
		return ports.Row{}, share{}, err
	}
	var v share
	if rows[0].Version > 0 {
		err = msgpack.Unmarshal(rows[0].Value, &v)
	}
	return rows[0], v, err
}

func (s *Shares) failed(err error) {
	if errors.Is(err, ports.ErrUncertain) {
		s.count.Add(countUncertain, 1)
		return
	}
	s.count.Add(countUnavailable, 1)
}

// renew extends the lease that is held. Until the table's answer is there the
// old lease goes on and is not extended.
func (s *Shares) renew(ctx context.Context, name string) {
	s.mu.Lock()
	l := s.workspace(name).held
	r := renewal{nonce: s.nonce(), asked: time.Now()}
	version := l.version
	v := s.holding(l, r.nonce, s.plan(name))
	s.mu.Unlock()
	op := ports.Op{Kind: ports.OpUpdate, Key: rowKey(name, l.index), Version: version, Value: v.encode()}
	res, err := s.table.Commit(ctx, op)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, ports.ErrUncertain):
		s.failed(err)
		l.unsure = &r
	case err != nil:
		s.failed(err)
	case !res.Applied:
		s.lose(s.workspace(name), "taken by another host")
	default:
		l.nonce, l.asked = r.nonce, r.asked
		l.version = version + 1
		s.count.Add(countRenewed, 1)
	}
}

// readBack finds out whether a renewal took effect.
func (s *Shares) readBack(ctx context.Context, name string) {
	s.mu.Lock()
	l := s.workspace(name).held
	s.mu.Unlock()
	r, v, err := s.read(ctx, name, l.index)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.adopt(r, v) {
		s.lose(s.workspace(name), "taken by another host")
	}
}

// release gives a share back, for others to take at once. It is not used from
// before the row is written; if that fails, others wait for the lease to end.
func (s *Shares) release(ctx context.Context, name string) {
	s.mu.Lock()
	w := s.workspace(name)
	l := w.held
	w.held = nil
	now := time.Now()
	w.after = now.Add(2 * s.limits.Poll)
	v := share{Holder: s.self, Nonce: s.nonce(), Released: true, Window: l.spent.keep}
	v.Spent = l.spent.spent(now, l.spent.keep)
	version := l.version
	s.mu.Unlock()
	s.count.Add(countReleased, 1)
	s.write(ctx, name, l, version, v)
}

func (s *Shares) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.StoreTimeout)
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
		if w.held != nil {
			out = append(out, name)
		}
	}
	return out
}

// Package store is an in-memory implementation of the platform's table, object store and host
// list for tests. It can inject the faults of a real platform: outages, slow operations,
// replies lost after a write was applied, a delayed host list, and rate limits.
package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down fails every operation with ErrUnavailable, after Delay.
	Down bool `json:"down"`
	// Delay is added to each operation.
	Delay time.Duration `json:"delay"`
	// LoseReply is called after each write has been applied. If it returns true, the caller
	// gets ErrUncertain in place of the result. Nil loses no replies.
	LoseReply func() bool `json:"-"`
}

// Limits bounds operations per second; 0 means no limit.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Store implements ports.Table. Objects and Hosts return its object store and host list. All
// methods are safe for concurrent use.
type Store struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	rows    map[string]ports.Row
	objects map[string][]byte
	hosts   ports.HostSnapshot
	// visible is the host list as readers see it, behind hosts by up to hostLag.
	visible     ports.HostSnapshot
	hostLag     time.Duration
	commitCount uint64
	readCount   uint64
}

var _ ports.Table = (*Store)(nil)

// New returns an empty store without faults.
func New(l Limits) *Store {
	return &Store{
		writes:  limiter(l.WritesPerSecond),
		reads:   limiter(l.ReadsPerSecond),
		rows:    make(map[string]ports.Row),
		objects: make(map[string][]byte),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// SetFaults replaces all injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// OpCounts returns the number of transactions, conflicting ones included, and of table reads
// that were processed.
func (s *Store) OpCounts() (commits, reads uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitCount, s.readCount
}

// admit applies the rate limit and the injected delay, and fails during an outage.
func (s *Store) admit(ctx context.Context, l *rate.Limiter) error {
	if err := l.Wait(ctx); err != nil {
		return errors.Mark(err, ports.ErrUnavailable)
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if err := sleep(ctx, f.Delay); err != nil {
		return errors.Mark(err, ports.ErrUnavailable)
	}
	if f.Down {
		return errors.Wrap(ports.ErrUnavailable, "outage")
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maybeLoseReply returns ErrUncertain if the reply to an applied write is to be lost.
func (s *Store) maybeLoseReply() error {
	s.mu.Lock()
	lose := s.faults.LoseReply
	s.mu.Unlock()
	if lose != nil && lose() {
		return errors.Wrap(ports.ErrUncertain, "answer lost")
	}
	return nil
}

// Get implements ports.Table.
func (s *Store) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCount++
	rows := make([]ports.Row, len(keys))
	for i, k := range keys {
		rows[i] = s.row(k)
	}
	return rows, nil
}

func (s *Store) row(key string) ports.Row {
	r, ok := s.rows[key]
	if !ok {
		return ports.Row{Key: key}
	}
	return r
}

// Scan implements ports.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCount++
	var rows []ports.Row
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b ports.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements ports.Table.
func (s *Store) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	if err := s.admit(ctx, s.writes); err != nil {
		return ports.CommitResult{}, err
	}
	res := s.apply(ops)
	if err := s.maybeLoseReply(); err != nil {
		return ports.CommitResult{}, err
	}
	return res, nil
}

func (s *Store) apply(ops []ports.Op) ports.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitCount++
	var conflicts []ports.Row
	for _, op := range ops {
		if r := s.row(op.Key); !allowed(op, r) {
			conflicts = append(conflicts, r)
		}
	}
	if len(conflicts) > 0 {
		return ports.CommitResult{Conflicts: conflicts}
	}
	for _, op := range ops {
		s.write(op)
	}
	return ports.CommitResult{Applied: true}
}

// allowed reports whether the row meets the operation's precondition.
func allowed(op ports.Op, r ports.Row) bool {
	switch op.Kind {
	case ports.OpInsert:
		return r.Version == 0
	case ports.OpUpdate, ports.OpCheck:
		return r.Version == op.Version
	case ports.OpDelete:
		return op.Version == 0 || r.Version == op.Version
	default:
		return true
	}
}

func (s *Store) write(op ports.Op) {
	switch op.Kind {
	case ports.OpCheck:
	case ports.OpDelete:
		delete(s.rows, op.Key)
	default:
		r := s.row(op.Key)
		s.rows[op.Key] = ports.Row{Key: op.Key, Version: r.Version + 1, Value: slices.Clone(op.Value)}
	}
}

// Objects returns the object store.
func (s *Store) Objects() ports.ObjectStore { return objects{s} }

type objects struct{ *Store }

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.admit(ctx, o.reads); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.objects[name]), nil
}

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.admit(ctx, o.writes); err != nil {
		return err
	}
	o.mu.Lock()
	o.objects[name] = slices.Clone(data)
	o.mu.Unlock()
	return o.maybeLoseReply()
}

// Hosts returns the host list.
func (s *Store) Hosts() ports.HostList { return hosts{s} }

type hosts struct{ *Store }

func (h hosts) List(ctx context.Context, known uint64) (ports.HostSnapshot, error) {
	if err := h.admit(ctx, h.reads); err != nil {
		return ports.HostSnapshot{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if known == h.visible.Version && known != 0 {
		return ports.HostSnapshot{Version: known, Unchanged: true}, nil
	}
	return ports.HostSnapshot{Version: h.visible.Version, Hosts: slices.Clone(h.visible.Hosts)}, nil
}

// SetHostLag sets the delay before readers see a change to the host list. Changes made before
// keep their delay.
func (s *Store) SetHostLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLag = d
}

// SetHosts replaces the host list; readers see it after the host lag.
func (s *Store) SetHosts(list []ports.Host) {
	s.ChangeHosts(func([]ports.Host) []ports.Host { return list })
}

// ChangeHosts replaces the host list with the result of f, which gets a copy that it may
// modify. Readers see the change after the host lag.
func (s *Store) ChangeHosts(f func([]ports.Host) []ports.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = ports.HostSnapshot{Version: s.hosts.Version + 1, Hosts: slices.Clone(f(slices.Clone(s.hosts.Hosts)))}
	snap := s.hosts
	if s.hostLag <= 0 {
		s.visible = snap
		return
	}
	time.AfterFunc(s.hostLag, func() { s.publish(snap) })
}

// publish makes the snapshot visible unless a newer one already is.
func (s *Store) publish(snap ports.HostSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Version > s.visible.Version {
		s.visible = snap
	}
}

package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// reachability tracks which targets this host can reach, so that the loss of a target
// counts as one event however many connections to it fail afterwards.
type reachability struct {
	targets sync.Map // ports.RunID -> *reach
}

// reach is when a target was lost; nil if it is up.
type reach struct{ lostAt atomic.Pointer[time.Time] }

func (r *reachability) of(id ports.RunID) *reach {
	v, ok := r.targets.Load(id)
	if !ok {
		v, _ = r.targets.LoadOrStore(id, new(reach))
	}
	return v.(*reach)
}

// markUp records that a target answered.
func (r *reachability) markUp(id ports.RunID) {
	if t := r.of(id); t.lostAt.Load() != nil {
		t.lostAt.Store(nil)
	}
}

// markAlive records that a target that was lost up to a time had not crashed. Otherwise its next loss
// would not be noticed before it answers this host.
func (r *reachability) markAlive(id ports.RunID, until time.Time) {
	v, ok := r.targets.Load(id)
	if !ok {
		return
	}
	t := v.(*reach)
	if at := t.lostAt.Load(); at != nil && !at.After(until) {
		t.lostAt.CompareAndSwap(at, nil)
	}
}

// markDown records that a target was lost, and reports whether it was up before. A target
// that this host never tried counts as up, so that a loss reported by another host is
// taken as new.
func (r *reachability) markDown(at time.Time, id ports.RunID) bool {
	return r.of(id).lostAt.CompareAndSwap(nil, &at)
}

// retain drops all targets for which known returns false.
func (r *reachability) retain(known func(ports.RunID) bool) {
	r.targets.Range(func(id, _ any) bool {
		if !known(id.(ports.RunID)) {
			r.targets.Delete(id)
		}
		return true
	})
}

// RetainTargets drops the reachability of all targets for which known returns false. It
// must be called from time to time, so that removed targets don't accumulate.
func (q *Quarantine) RetainTargets(known func(ports.RunID) bool) { q.reachability.retain(known) }

// ConnectFailed reports that no connection to the target could be made. The first such
// report counts as the loss of the target. For idle targets it is the only sign that a
// whole availability zone is failing and that no request is the cause.
func (a *Attempt) ConnectFailed(target ports.RunID) {
	if a == nil || !a.q.reachability.markDown(time.Now(), target) {
		return
	}
	a.q.locked(func(now time.Time) { a.q.tracker.RecordLostTarget(now, target) })
	broadcast(a.q, kindTargetLost, targetLostMsg{Target: target})
}

func (q *Quarantine) onTargetLost(_ context.Context, _ peer.HostID, msg targetLostMsg) (struct{}, error) {
	if q.reachability.markDown(time.Now(), msg.Target) {
		q.locked(func(now time.Time) { q.tracker.RecordLostTarget(now, msg.Target) })
	}
	return struct{}{}, nil
}

// markLosses marks the targets that records report as recently lost.
func (q *Quarantine) markLosses(records []suspicion.Record) {
	now := time.Now()
	for _, r := range records {
		for _, l := range r.Losses {
			if l.SinceLoss < syncInterval {
				q.reachability.markDown(now.Add(-l.SinceLoss), l.Target)
			}
		}
	}
}

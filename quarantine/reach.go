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
	targets sync.Map // ports.RunID -> *atomic.Bool
}

// markUp records that a target answered.
func (r *reachability) markUp(id ports.RunID) {
	if v, ok := r.targets.Load(id); ok {
		if b := v.(*atomic.Bool); !b.Load() {
			b.Store(true)
		}
		return
	}
	b := new(atomic.Bool)
	b.Store(true)
	r.targets.Store(id, b)
}

// markDown records that a target was lost, and reports whether it was up before. A target
// that this host never tried counts as up, so that a loss reported by another host is
// taken as new.
func (r *reachability) markDown(id ports.RunID) bool {
	v, known := r.targets.LoadOrStore(id, new(atomic.Bool))
	return !known || v.(*atomic.Bool).Swap(false)
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
	if a == nil || !a.q.reachability.markDown(target) {
		return
	}
	a.q.locked(func(now time.Time) { a.q.tracker.RecordLostTarget(now, target) })
	broadcast(a.q, kindTargetLost, targetLostMsg{Target: target})
}

func (q *Quarantine) onTargetLost(_ context.Context, _ peer.HostID, msg targetLostMsg) (struct{}, error) {
	if q.reachability.markDown(msg.Target) {
		q.locked(func(now time.Time) { q.tracker.RecordLostTarget(now, msg.Target) })
	}
	return struct{}{}, nil
}

// markLosses marks the targets that records report as recently lost.
func (q *Quarantine) markLosses(records []suspicion.Record) {
	for _, r := range records {
		for _, l := range r.Losses {
			if l.SinceLoss < syncInterval {
				q.reachability.markDown(l.Target)
			}
		}
	}
}

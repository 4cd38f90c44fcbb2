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

// reach remembers which targets this host can reach, so that a target's loss is
// one event however many connections to it fail afterwards.
type reach struct {
	targets sync.Map // ports.RunID -> *atomic.Bool
}

// up notes that a target answered.
func (r *reach) up(id ports.RunID) {
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

// down notes that a target was lost, and reports whether that is news. A target
// that this host never tried counts as having been up: another host's word of
// its loss is what this host would go by.
func (r *reach) down(id ports.RunID) bool {
	v, known := r.targets.LoadOrStore(id, new(atomic.Bool))
	return !known || v.(*atomic.Bool).Swap(false)
}

// keep forgets all targets but these.
func (r *reach) keep(known func(ports.RunID) bool) {
	r.targets.Range(func(id, _ any) bool {
		if !known(id.(ports.RunID)) {
			r.targets.Delete(id)
		}
		return true
	})
}

// KeepTargets forgets what is known of targets that are no more.
func (q *Quarantine) KeepTargets(known func(ports.RunID) bool) { q.reach.keep(known) }

// NotReached tells that no connection to the target could be made. The first
// time it is taken for lost: idle targets tell in this way alone that a whole
// zone is failing, and that no request is the cause.
func (a *Attempt) NotReached(target ports.RunID) {
	if a == nil || !a.q.reach.down(target) {
		return
	}
	a.q.locked(func(now time.Time) { a.q.tracker.RecordLostTarget(now, target) })
	broadcast(a.q, kindLost, lostMsg{Target: target})
}

func (q *Quarantine) onLost(_ context.Context, _ peer.HostID, msg lostMsg) (struct{}, error) {
	if q.reach.down(msg.Target) {
		q.locked(func(now time.Time) { q.tracker.RecordLostTarget(now, msg.Target) })
	}
	return struct{}{}, nil
}

// lostWith notes the targets of records as lost.
func (q *Quarantine) lostWith(records []suspicion.Record) {
	for _, r := range records {
		for _, l := range r.Losses {
			if l.SinceLoss < syncEvery {
				q.reach.down(l.Target)
			}
		}
	}
}

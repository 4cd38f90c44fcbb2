package backpressure

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// maxRest bounds the rest that a target gets for asking once.
const maxRest = time.Hour

// rest is until when a run of a target wants nothing from this host.
type rest struct {
	run   ports.RunID
	until time.Time
}

// rests are the targets that asked this host for rest. No answer ends a rest early: a request that
// was under way says nothing of the next.
type rests struct {
	board *blackboard.Board

	mu        sync.Mutex
	byService map[blackboard.ServiceKey]map[ports.HostID]rest
}

func newRests(board *blackboard.Board) *rests {
	return &rests{board: board, byService: make(map[blackboard.ServiceKey]map[ports.HostID]rest)}
}

// add notes that a target asked for rest, and reports whether it had none before.
func (r *rests) add(service blackboard.ServiceKey, t blackboard.Target, d time.Duration) (news bool) {
	now := time.Now()
	until := now.Add(min(d, maxRest))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService[service] == nil {
		r.byService[service] = make(map[ports.HostID]rest)
	}
	old := r.byService[service][t.ID]
	resting := old.run == t.RunID() && now.Before(old.until)
	if !resting || until.After(old.until) {
		r.byService[service][t.ID] = rest{t.RunID(), until}
	}
	return !resting
}

// any reports whether some target of a service may be resting.
func (r *rests) any(service blackboard.ServiceKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byService[service]) > 0
}

// has reports whether a target is resting.
func (r *rests) has(service blackboard.ServiceKey, t blackboard.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.byService[service][t.ID]
	return old.run == t.RunID() && time.Now().Before(old.until)
}

// of returns the targets of a service that are resting, and when the first of them has rested.
func (r *rests) of(service blackboard.ServiceKey) (ids []ports.HostID, first time.Time) {
	now := time.Now()
	list := r.board.Targets.Load().ByService[service]
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, old := range r.byService[service] {
		if !now.Before(old.until) || replaced(list, id, old.run) {
			delete(r.byService[service], id)
			continue
		}
		ids = append(ids, id)
		if first.IsZero() || old.until.Before(first) {
			first = old.until
		}
	}
	return ids, first
}

// replaced reports whether a list has another run of a target.
func replaced(list []blackboard.Target, id ports.HostID, run ports.RunID) bool {
	i, found := slices.BinarySearchFunc(list, id, func(t blackboard.Target, id ports.HostID) int {
		return cmp.Compare(t.ID, id)
	})
	return found && list[i].RunID() != run
}

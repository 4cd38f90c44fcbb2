package backpressure

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// maxBackoff bounds the pause that one response can request.
const maxBackoff = time.Hour

// backoff is a pause that a run of a target requested from this host.
type backoff struct {
	run   ports.RunID
	until time.Time
}

// backoffs holds the pauses that targets requested from this host. No response ends one early:
// the response to a request already in flight says nothing about the next request.
type backoffs struct {
	board *blackboard.Board

	mu        sync.Mutex
	byService map[blackboard.ServiceKey]map[ports.HostID]backoff
}

func newBackoffs(board *blackboard.Board) *backoffs {
	return &backoffs{board: board, byService: make(map[blackboard.ServiceKey]map[ports.HostID]backoff)}
}

// add records a request for a pause, and reports whether the target had none in force.
func (r *backoffs) add(service blackboard.ServiceKey, t blackboard.Target, d time.Duration) (started bool) {
	now := time.Now()
	until := now.Add(min(d, maxBackoff))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService[service] == nil {
		r.byService[service] = make(map[ports.HostID]backoff)
	}
	old := r.byService[service][t.ID]
	active := old.run == t.RunID() && now.Before(old.until)
	if !active || until.After(old.until) {
		r.byService[service][t.ID] = backoff{t.RunID(), until}
	}
	return !active
}

// any reports whether a target of a service may be backed off.
func (r *backoffs) any(service blackboard.ServiceKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byService[service]) > 0
}

// has reports whether a target is backed off.
func (r *backoffs) has(service blackboard.ServiceKey, t blackboard.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.byService[service][t.ID]
	return old.run == t.RunID() && time.Now().Before(old.until)
}

// of returns the targets of a service that are backed off, and when the first of these pauses
// ends.
func (r *backoffs) of(service blackboard.ServiceKey) (ids []ports.HostID, first time.Time) {
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

// replaced reports whether a list contains another run of a target.
func replaced(list []blackboard.Target, id ports.HostID, run ports.RunID) bool {
	i, found := slices.BinarySearchFunc(list, id, func(t blackboard.Target, id ports.HostID) int {
		return cmp.Compare(t.ID, id)
	})
	return found && list[i].RunID() != run
}

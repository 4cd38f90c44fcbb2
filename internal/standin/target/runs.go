package target

import (
	"sync"
	"time"
)

// RunState tells how far a run came.
type RunState string

// States of a run. A run had its effect if it is RunDone; it may have had it if
// it is RunCanceled or RunCrashed; a request whose body did not arrive whole
// has no effect.
const (
	RunRunning    RunState = "running"
	RunDone       RunState = "done"
	RunCanceled   RunState = "canceled"
	RunCrashed    RunState = "crashed"
	RunBodyBroken RunState = "body-broken"
)

// Run is the record of one request that took a slot.
type Run struct {
	RequestID string   `json:"requestId"`
	Key       string   `json:"key,omitempty"`
	Method    string   `json:"method"`
	Path      string   `json:"path"`
	State     RunState `json:"state"`
	// BodyBytes and BodyDigest (SHA-256, hexadecimal) are of the body as it
	// arrived.
	BodyBytes  int64     `json:"bodyBytes"`
	BodyDigest string    `json:"bodyDigest"`
	Started    time.Time `json:"started"`
	Finished   time.Time `json:"finished,omitzero"`
}

// record keeps all runs of a target, over crashes and restarts.
type record struct {
	mu   sync.Mutex
	runs []Run
}

// start adds a run and returns its index.
func (r *record) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

func (r *record) body(i int, n int64, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[i].BodyBytes = n
	r.runs[i].BodyDigest = digest
}

func (r *record) finish(i int, s RunState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[i].State = s
	r.runs[i].Finished = now
}

func (r *record) all() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

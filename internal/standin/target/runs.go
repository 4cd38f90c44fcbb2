package target

import (
	"sync"
	"time"
)

// RunState is how far a run got.
type RunState string

// States of a run. A run in state RunDone has had its effect; one in RunCanceled or RunCrashed
// may have had it. A request whose body did not arrive completely has none.
const (
	RunRunning    RunState = "running"
	RunDone       RunState = "done"
	RunCanceled   RunState = "canceled"
	RunCrashed    RunState = "crashed"
	RunBodyBroken RunState = "body-broken"
)

// Run is the record of a request that got a slot.
type Run struct {
	RequestID string   `json:"requestId"`
	Key       string   `json:"key,omitempty"`
	Method    string   `json:"method"`
	Path      string   `json:"path"`
	State     RunState `json:"state"`
	// BodyBytes and BodyDigest (SHA-256 in hexadecimal) describe the body as received.
	BodyBytes  int64     `json:"bodyBytes"`
	BodyDigest string    `json:"bodyDigest"`
	Started    time.Time `json:"started"`
	Finished   time.Time `json:"finished,omitzero"`
}

// runLog holds all runs of a target, across crashes and restarts.
type runLog struct {
	mu   sync.Mutex
	runs []Run
}

// start appends a run and returns its index.
func (r *runLog) start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

func (r *runLog) setBody(i int, n int64, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[i].BodyBytes = n
	r.runs[i].BodyDigest = digest
}

func (r *runLog) finish(i int, s RunState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[i].State = s
	r.runs[i].Finished = now
}

func (r *runLog) all() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

// entry tells how a call fared at the slots.
type entry uint8

const (
	entryTaken entry = iota + 1
	entryFull
	entryGone
)

// enter takes a slot, waiting in the queue if there is room. A crash meanwhile
// cuts the call off.
func (t *Target) enter(ctx context.Context, down chan struct{}) entry {
	if !t.reserve() {
		return entryFull
	}
	select {
	case t.slots <- struct{}{}:
		return entryTaken
	case <-ctx.Done():
		t.unreserve()
		return entryGone
	case <-down:
		t.unreserve()
		panic(http.ErrAbortHandler)
	}
}

// reserve counts a call in if slots and queue have room for it.
func (t *Target) reserve() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status.Load >= t.opts.Slots+t.opts.Queue {
		return false
	}
	t.status.Load++
	t.note()
	return true
}

func (t *Target) unreserve() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Load--
	t.note()
}

func (t *Target) leave() {
	<-t.slots
	t.unreserve()
}

// note keeps the state for endpoints that lag. The caller holds the lock.
func (t *Target) note() {
	t.reports.add(report{at: time.Now(), load: t.status.Load, leaving: t.status.Leaving})
}

// reported returns what the target says of itself, which need not be true.
func (t *Target) reported() (h targetapi.Health, healthy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.behaviour
	r := report{load: t.status.Load, leaving: t.status.Leaving}
	if b.ReportLag > 0 {
		r = t.reports.before(time.Now().Add(-b.ReportLag))
	}
	h = targetapi.Health{Load: r.load, Slots: t.opts.Slots, Leaving: r.leaving}
	healthy = !r.leaving && !b.Shed && !b.FailFast
	if b.FalseLoad != nil {
		h.Load = *b.FalseLoad
	}
	if b.FalseHealth != nil {
		healthy = *b.FalseHealth
		h.Leaving = !healthy
	}
	return h, healthy
}

// tell sets the headers of package targetapi; own is 1 if the answer is to a
// call that counts in the load. Leaving is told truthfully: the answers of a
// target are the sign that does not lag.
func (t *Target) tell(h http.Header, own int) {
	if t.Behaviour().Silent {
		return
	}
	said, _ := t.reported()
	h.Set(targetapi.HeaderLoad, strconv.Itoa(max(0, said.Load-own)))
	if limit := t.Behaviour().Limit; limit > 0 {
		h.Set(targetapi.HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if t.Status().Leaving {
		h.Set(targetapi.HeaderLeaving, targetapi.Yes)
	}
}

// serveHealth answers a probe, which holds a slot for a while.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	down := t.alive()
	t.mu.Lock()
	t.status.Probes++
	t.mu.Unlock()
	if t.opts.ProbeTime > 0 {
		switch t.enter(r.Context(), down) {
		case entryFull:
			t.shed(w)
			return
		case entryGone:
			panic(http.ErrAbortHandler)
		}
		state := work(r.Context(), down, t.opts.ProbeTime)
		t.leave()
		if state == RunCrashed {
			panic(http.ErrAbortHandler)
		}
	}
	t.tell(w.Header(), 0)
	said, healthy := t.reported()
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, said)
}

// writeJSON answers with v; a failed write means that the reader has gone.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

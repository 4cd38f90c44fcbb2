package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

// admission is the result of a request for a slot.
type admission uint8

const (
	admitted admission = iota + 1
	queueFull
	callerGone
)

// acquireSlot takes a slot, waiting in the queue if there is room. It aborts the connection if
// the target crashes meanwhile.
func (t *Target) acquireSlot(ctx context.Context, down chan struct{}) admission {
	if !t.reserveLoad() {
		return queueFull
	}
	select {
	case t.slots <- struct{}{}:
		return admitted
	case <-ctx.Done():
		t.releaseLoad()
		return callerGone
	case <-down:
		t.releaseLoad()
		panic(http.ErrAbortHandler)
	}
}

// reserveLoad counts a call in the load unless slots and queue are full.
func (t *Target) reserveLoad() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status.Load >= t.opts.Slots+t.opts.Queue {
		return false
	}
	t.status.Load++
	t.recordReport()
	return true
}

func (t *Target) releaseLoad() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Load--
	t.recordReport()
}

func (t *Target) releaseSlot() {
	<-t.slots
	t.releaseLoad()
}

// recordReport appends the current state to the history, for reports that lag. The caller
// holds the lock.
func (t *Target) recordReport() {
	t.history.add(report{at: time.Now(), load: t.status.Load, leaving: t.status.Leaving})
}

// reported returns the load and health that the target reports. They may be stale or false, as
// its Behaviour says.
func (t *Target) reported() (h targetapi.Health, healthy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.behaviour
	r := report{load: t.status.Load, leaving: t.status.Leaving}
	if b.ReportLag > 0 {
		r = t.history.at(time.Now().Add(-b.ReportLag))
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

// setReportHeaders sets the headers of package targetapi. own is 1 if the response is to a call
// that still counts in the load. The leaving header is always true and current: a target's
// responses are the one signal without lag.
func (t *Target) setReportHeaders(h http.Header, own int) {
	if t.Behaviour().Silent {
		return
	}
	health, _ := t.reported()
	h.Set(targetapi.HeaderLoad, strconv.Itoa(max(0, health.Load-own)))
	if limit := t.Behaviour().Limit; limit > 0 {
		h.Set(targetapi.HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if t.Status().Leaving {
		h.Set(targetapi.HeaderLeaving, targetapi.Yes)
	}
}

// serveHealth responds to a health probe, which holds a slot for Options.ProbeTime.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	down := t.crashSignal()
	t.mu.Lock()
	t.status.Probes++
	t.mu.Unlock()
	if t.opts.ProbeTime > 0 {
		switch t.acquireSlot(r.Context(), down) {
		case queueFull:
			t.shed(w)
			return
		case callerGone:
			panic(http.ErrAbortHandler)
		}
		state := simulateWork(r.Context(), down, t.opts.ProbeTime)
		t.releaseSlot()
		if state == RunCrashed {
			panic(http.ErrAbortHandler)
		}
	}
	t.setReportHeaders(w.Header(), 0)
	health, healthy := t.reported()
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

// writeJSON responds with v. A failed write means that the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

package target

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

// maxAnswerBytes bounds the response padding that a request can ask for.
const maxAnswerBytes = 64 << 20

// Answer is the JSON body of the response to a call. Any padding that the request asked for
// follows it.
type Answer struct {
	Target     string `json:"target"`
	RequestID  string `json:"requestId"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest string `json:"bodyDigest"`
}

// Handler serves calls, the health endpoint, and the control API under /standin/.
func (t *Target) Handler() http.Handler {
	r := chi.NewRouter()
	r.Mount("/standin", t.Admin())
	r.Get(t.opts.HealthPath, t.serveHealth)
	r.HandleFunc("/*", t.serveCall)
	return r
}

// serveCall runs a call or rejects it. Where the caller must not get a complete response, it
// aborts the connection by panicking with http.ErrAbortHandler.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	down := t.crashSignal()
	if t.shedding() {
		t.shed(w)
		return
	}
	if t.Behaviour().FailFast {
		t.setReportHeaders(w.Header(), 0)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	switch t.acquireSlot(r.Context(), down) {
	case queueFull:
		t.shed(w)
		return
	case callerGone:
		panic(http.ErrAbortHandler)
	}
	defer t.releaseSlot()
	t.runCall(w, r, down)
}

// crashSignal returns the channel that is closed when the target crashes. If the target is down
// already, it aborts the connection.
func (t *Target) crashSignal() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status.Down {
		panic(http.ErrAbortHandler)
	}
	return t.down
}

func (t *Target) shedding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.Shed {
		return true
	}
	return t.status.Leaving && !time.Now().Before(t.refuseFrom)
}

func (t *Target) shed(w http.ResponseWriter) {
	t.mu.Lock()
	t.status.ShedCalls++
	t.mu.Unlock()
	t.setReportHeaders(w.Header(), 0)
	w.Header().Set(targetapi.HeaderShed, targetapi.Yes)
	if rest := t.Behaviour().RetryAfter; rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "refused before running", http.StatusServiceUnavailable)
}

// runCall runs a call that holds a slot, and records the run.
func (t *Target) runCall(w http.ResponseWriter, r *http.Request, down chan struct{}) {
	id := t.runs.start(Run{
		RequestID: r.Header.Get(HeaderRequestID),
		Key:       r.Header.Get(HeaderKey),
		Method:    r.Method,
		Path:      r.URL.Path,
		State:     RunRunning,
		Started:   time.Now(),
	})
	state := RunCrashed
	defer func() { t.runs.finish(id, state, time.Now()) }()

	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	digest := hex.EncodeToString(sum.Sum(nil))
	t.runs.setBody(id, n, digest)
	if err != nil {
		state = RunBodyBroken
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(HeaderCrash) != "" {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	state = simulateWork(r.Context(), down, t.serviceTime(r.Header))
	if state != RunDone {
		panic(http.ErrAbortHandler)
	}
	t.writeAnswer(w, r, n, digest)
}

// simulateWork waits for the service time, or until the caller cancels or the target crashes.
func simulateWork(ctx context.Context, down chan struct{}, d time.Duration) RunState {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return RunDone
	case <-ctx.Done():
		return RunCanceled
	case <-down:
		return RunCrashed
	}
}

func (t *Target) serviceTime(h http.Header) time.Duration {
	if d, err := time.ParseDuration(h.Get(HeaderRunFor)); err == nil {
		return d
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times.draw(t.behaviour, time.Now())
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, n int64, digest string) {
	a := Answer{Target: string(t.opts.ID), RequestID: r.Header.Get(HeaderRequestID), BodyBytes: n, BodyDigest: digest}
	body, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	pad, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	pad = min(max(pad, 0), maxAnswerBytes)
	t.setReportHeaders(w.Header(), 1)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+pad))
	w.Header().Set(HeaderRequestID, a.RequestID)
	// A failed write means that the caller has disconnected; the run counts as done all the same.
	if t.Behaviour().BreakOff {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	_, _ = io.Copy(w, io.LimitReader(padding{}, int64(pad)))
}

// padding is an endless reader of spaces.
type padding struct{}

// Read fills p.
func (padding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

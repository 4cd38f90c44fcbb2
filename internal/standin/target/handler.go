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

// maxAnswerBytes bounds the padding that a request may ask for.
const maxAnswerBytes = 64 << 20

// Answer is the JSON body of an answer to a call. The padding that a request
// asked for follows it.
type Answer struct {
	Target     string `json:"target"`
	RequestID  string `json:"requestId"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest string `json:"bodyDigest"`
}

// Handler serves calls, the health endpoint, and the switches under /standin/.
func (t *Target) Handler() http.Handler {
	r := chi.NewRouter()
	r.Mount("/standin", t.Admin())
	r.Get(t.opts.HealthPath, t.serveHealth)
	r.HandleFunc("/*", t.serveCall)
	return r
}

// serveCall runs one call, or refuses it. What the caller is not to get a whole
// answer to is cut off by http.ErrAbortHandler.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	down := t.alive()
	if t.refusing() {
		t.shed(w)
		return
	}
	if t.Behaviour().FailFast {
		t.tell(w.Header(), 0)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	switch t.enter(r.Context(), down) {
	case entryFull:
		t.shed(w)
		return
	case entryGone:
		panic(http.ErrAbortHandler)
	}
	defer t.leave()
	t.run(w, r, down)
}

// alive returns the channel that tells of a crash; a target that is down cuts
// the call off.
func (t *Target) alive() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status.Down {
		panic(http.ErrAbortHandler)
	}
	return t.down
}

func (t *Target) refusing() bool {
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
	t.tell(w.Header(), 0)
	w.Header().Set(targetapi.HeaderShed, targetapi.Yes)
	if rest := t.Behaviour().RetryAfter; rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "refused before running", http.StatusServiceUnavailable)
}

// run runs a call that holds a slot.
func (t *Target) run(w http.ResponseWriter, r *http.Request, down chan struct{}) {
	id := t.record.start(Run{
		RequestID: r.Header.Get(HeaderRequestID),
		Key:       r.Header.Get(HeaderKey),
		Method:    r.Method,
		Path:      r.URL.Path,
		State:     RunRunning,
		Started:   time.Now(),
	})
	state := RunCrashed
	defer func() { t.record.finish(id, state, time.Now()) }()

	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	digest := hex.EncodeToString(sum.Sum(nil))
	t.record.body(id, n, digest)
	if err != nil {
		state = RunBodyBroken
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(HeaderCrash) != "" {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	state = work(r.Context(), down, t.serviceTime(r.Header))
	if state != RunDone {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, n, digest)
}

// work takes the service time, unless the caller or the target goes first.
func work(ctx context.Context, down chan struct{}, d time.Duration) RunState {
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

func (t *Target) answer(w http.ResponseWriter, r *http.Request, n int64, digest string) {
	a := Answer{Target: string(t.opts.ID), RequestID: r.Header.Get(HeaderRequestID), BodyBytes: n, BodyDigest: digest}
	body, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	pad, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	pad = min(max(pad, 0), maxAnswerBytes)
	t.tell(w.Header(), 1)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+pad))
	w.Header().Set(HeaderRequestID, a.RequestID)
	// A failed write means that the caller has gone; the run is done all the same.
	if t.Behaviour().BreakOff {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	_, _ = io.Copy(w, io.LimitReader(padding{}, int64(pad)))
}

// padding reads as spaces without end.
type padding struct{}

// Read fills p.
func (padding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

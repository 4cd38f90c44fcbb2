package target

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// DrainRequest is the body of POST /standin/drain.
type DrainRequest struct {
	// Grace is how long new calls are still accepted, in nanoseconds in JSON.
	Grace time.Duration `json:"grace"`
}

// Admin serves the control API. Handler mounts it under /standin. Served on a listener of its
// own, it stays reachable while the target is down.
//
//	GET  /runs       all runs so far, as a list of Run
//	GET  /status     Status
//	GET  /behaviour  Behaviour
//	PUT  /behaviour  Behaviour, replacing the current one
//	POST /drain      DrainRequest
//	POST /crash
//	POST /restart
func (t *Target) Admin() http.Handler {
	r := chi.NewRouter()
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Runs()) })
	r.Get("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Status()) })
	r.Get("/behaviour", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Behaviour()) })
	r.Put("/behaviour", t.putBehaviour)
	r.Post("/drain", t.postDrain)
	r.Post("/crash", func(w http.ResponseWriter, _ *http.Request) {
		t.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	r.Post("/restart", t.postRestart)
	return r
}

func (t *Target) putBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if !readJSON(w, r, &b) {
		return
	}
	t.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) postDrain(w http.ResponseWriter, r *http.Request) {
	var d DrainRequest
	if !readJSON(w, r, &d) {
		return
	}
	t.Drain(d.Grace)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) postRestart(w http.ResponseWriter, _ *http.Request) {
	if err := t.Restart(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readJSON decodes the body. If that fails, it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Package platform serves a simulated platform over HTTP: the table, object store and host
// list of package internal/standin/store. Further endpoints inject faults and change the
// host list while it runs.
package platform

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	ports "github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/ports/httpstore"
)

const (
	// maxRequests bounds the requests being handled at once; further ones get status 429.
	maxRequests = 1000
	// maxBody bounds a request body, in bytes.
	maxBody = 64 << 20
)

// Faults are the injected faults; the zero value injects none. Durations are nanoseconds in
// JSON.
type Faults struct {
	// Down rejects every request as not applied.
	Down bool `json:"down"`
	// Delay is added to each request.
	Delay time.Duration `json:"delay"`
	// LoseReplies is the share of writes, 0 to 1, that are applied but whose connection is
	// closed without a response. Seed makes the choice reproducible.
	LoseReplies float64 `json:"loseReplies"`
	Seed        uint64  `json:"seed"`
	// HostLag is the delay before readers see a change to the host list.
	HostLag time.Duration `json:"hostLag"`
}

// Options configures a Server.
type Options struct {
	Store *store.Store
	// Token is the bearer token that requests must carry; if empty, none is required.
	Token string
}

// Server is the HTTP server of the simulated platform.
type Server struct {
	store *store.Store
	token string
	// admitted is a semaphore for the requests being handled.
	admitted chan struct{}

	mu     sync.Mutex
	faults Faults
}

// New returns a server without faults.
func New(o Options) *Server {
	return &Server{store: o.Store, token: o.Token, admitted: make(chan struct{}, maxRequests)}
}

// SetFaults replaces all injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.store.SetHostLag(f.HostLag)
	s.store.SetFaults(store.Faults{Down: f.Down, Delay: f.Delay, LoseReply: replyLoss(f)})
}

// replyLoss returns a function that decides for each write whether its reply is lost, or nil
// if none are.
func replyLoss(f Faults) func() bool {
	if f.LoseReplies <= 0 {
		return nil
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(f.Seed, 0))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64() < f.LoseReplies
	}
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler serves the platform's API and the control endpoints:
//
//	GET, PUT /standin/faults     Faults
//	PUT      /standin/hosts/{id} ports.Host, adding or replacing it
//	DELETE   /standin/hosts/{id}
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.authenticate)
	r.Group(func(r chi.Router) {
		r.Use(s.limitRequests)
		r.Post(httpstore.PathGet, s.get)
		r.Post(httpstore.PathScan, s.scan)
		r.Post(httpstore.PathCommit, s.commit)
		r.Get(httpstore.PathObjects+"*", s.getObject)
		r.Put(httpstore.PathObjects+"*", s.putObject)
		r.Get(httpstore.PathHosts, s.hosts)
	})
	r.Get("/standin/faults", s.getFaults)
	r.Put("/standin/faults", s.putFaults)
	r.Put("/standin/hosts/{id}", s.putHost)
	r.Delete("/standin/hosts/{id}", s.deleteHost)
	return r
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "token is wrong or missing", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitRequests rejects requests beyond maxRequests and limits request bodies to maxBody.
func (s *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.admitted <- struct{}{}:
			defer func() { <-s.admitted }()
			r.Body = http.MaxBytesReader(w, r.Body, maxBody)
			next.ServeHTTP(w, r)
		default:
			notApplied(w, http.StatusTooManyRequests, "too many requests")
		}
	})
}

func notApplied(w http.ResponseWriter, status int, text string) {
	w.Header().Set(httpstore.HeaderNotApplied, "1")
	http.Error(w, text, status)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var req httpstore.GetRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := s.store.Get(r.Context(), req.Keys...)
	respond(w, httpstore.RowsResponse{Rows: rows}, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var req httpstore.ScanRequest
	if !decode(w, r, &req) {
		return
	}
	if req.Limit < 0 {
		http.Error(w, "limit is negative", http.StatusBadRequest)
		return
	}
	rows, err := s.store.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	respond(w, httpstore.RowsResponse{Rows: rows}, err)
}

// commit applies the transaction even if the client disconnects meanwhile, as a real store
// does with a request that it has received.
func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var req httpstore.CommitRequest
	if !decode(w, r, &req) {
		return
	}
	res, err := s.store.Commit(context.WithoutCancel(r.Context()), req.Ops...)
	respond(w, res, err)
}

// objectName returns the unescaped object name from the request path.
func objectName(r *http.Request) string {
	name := strings.TrimPrefix(r.URL.EscapedPath(), httpstore.PathObjects)
	if plain, err := url.PathUnescape(name); err == nil {
		return plain
	}
	return name
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.store.Objects().Get(r.Context(), objectName(r))
	if err == nil && data == nil {
		http.NotFound(w, r)
		return
	}
	if err != nil {
		respond(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A failed write means that the client has disconnected.
	_, _ = w.Write(data)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.store.Objects().Put(context.WithoutCancel(r.Context()), objectName(r), data)
	respond(w, struct{}{}, err)
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.ParseUint(r.URL.Query().Get(httpstore.QueryKnown), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	snap, err := s.store.Hosts().List(r.Context(), known)
	respond(w, snap, err)
}

// respond sends v as JSON, or the response for err. For ErrUncertain it aborts the
// connection, so that the client can't tell whether the request was applied.
func respond(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, ports.ErrUncertain):
		panic(http.ErrAbortHandler)
	case err != nil:
		notApplied(w, http.StatusServiceUnavailable, err.Error())
	default:
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	}
}

// decode reads the JSON body. If that fails, it responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

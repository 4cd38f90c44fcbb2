package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/metrics"
)

// maxRequest bounds a request body, in bytes: two files with JSON escapes.
const maxRequest = 2 << 20

// Deps holds the dependencies of the API.
type Deps struct {
	Config  *config.Controller
	Metrics *metrics.Set
	Log     *zap.Logger
	// Token is the bearer token that changes need. If it is empty, all changes are
	// refused.
	Token string
}

// api holds the handlers.
type api struct{ Deps }

// New returns the router of the API, to which the caller may add routes.
func New(deps Deps) chi.Router {
	a := &api{deps}
	r := chi.NewRouter()
	r.Method(http.MethodGet, PathMetrics, deps.Metrics)
	r.Get(PathStatus, a.status)
	r.Get(PathHistory, a.history)
	r.Post(PathPlan, a.plan)
	r.Group(func(r chi.Router) {
		r.Use(a.requireToken)
		r.Post(PathApply, a.apply)
		r.Post(PathRollback, a.rollback)
	})
	return r
}

// requireToken rejects requests without the token. It compares digests in constant
// time, so that timing reveals neither the length of the token nor a matching prefix.
func (a *api) requireToken(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(a.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if a.Token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			a.Metrics.Map("operator_refused").Add("token", 1)
			a.Log.Warn("operator token refused", zap.String("path", r.URL.Path), zap.String("from", r.RemoteAddr))
			reply(w, http.StatusUnauthorized, ErrorReply{"token missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) plan(w http.ResponseWriter, r *http.Request) {
	var req PlanRequest
	if !a.read(w, r, &req) {
		return
	}
	plan, err := a.Config.Plan(r.Context(), req.Workspace, req.Template)
	if err != nil {
		a.platformError(w, err)
		return
	}
	reply(w, http.StatusOK, plan)
}

func (a *api) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	if !a.read(w, r, &req) || !a.hasBase(w, req.Base) {
		return
	}
	out := a.Config.Apply(r.Context(), config.ApplyRequest{
		Request:   config.Request{ID: req.ID, Operator: req.Who, Base: *req.Base},
		Workspace: req.Workspace,
		Template:  req.Template,
	})
	a.changed(w, r, out, req.WaitMillis)
}

func (a *api) rollback(w http.ResponseWriter, r *http.Request) {
	var req RollbackRequest
	if !a.read(w, r, &req) || !a.hasBase(w, req.Base) {
		return
	}
	out := a.Config.Rollback(r.Context(), config.RollbackRequest{
		Request:   config.Request{ID: req.ID, Operator: req.Who, Base: *req.Base},
		Workspace: req.Workspace,
		To:        req.To,
	})
	a.changed(w, r, out, req.WaitMillis)
}

// changed replies to a change, after waiting for it to be in force if requested.
func (a *api) changed(w http.ResponseWriter, r *http.Request, out config.Outcome, waitMillis int64) {
	res := ChangeReply{Outcome: out}
	if out.Change != nil && waitMillis > 0 {
		wait := min(time.Duration(min(waitMillis, MaxWait.Milliseconds()))*time.Millisecond, MaxWait)
		ctx, cancel := context.WithTimeout(r.Context(), wait)
		defer cancel()
		st := a.Config.WaitInForce(ctx, out.Change.Sequence)
		res.Status = &st
	}
	reply(w, StatusOf(out.Result), res)
}

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	sequence, ok := a.number(w, r, "sequence")
	if !ok {
		return
	}
	reply(w, http.StatusOK, a.Config.Status(r.Context(), sequence))
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	limit, ok := a.number(w, r, "limit")
	if !ok {
		return
	}
	const most = 1 << 20 // far above what the controller returns
	changes, err := a.Config.History(r.Context(), r.URL.Query().Get("workspace"), int(min(limit, most)))
	if err != nil {
		a.platformError(w, err)
		return
	}
	reply(w, http.StatusOK, HistoryReply{Changes: changes})
}

// number parses a query parameter as an unsigned integer, 0 if it is absent. If the
// parameter is invalid it replies with an error and returns false.
func (a *api) number(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		a.badRequest(w, fmt.Sprintf("query parameter %s: %q is not a number", name, text))
		return 0, false
	}
	return v, true
}

func (a *api) hasBase(w http.ResponseWriter, base *uint64) bool {
	if base == nil {
		a.badRequest(w, "field base is missing: give the workspace version that plan showed, 0 for a new workspace")
	}
	return base != nil
}

// read decodes a request body, which must be a single JSON value without unknown
// fields. If the body is invalid it replies with an error and returns false.
func (a *api) read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		a.badRequest(w, "request body: "+describe(err))
		return false
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		a.badRequest(w, "request body: more than one JSON value")
		return false
	}
	return true
}

// describe formats a decoding error with the field or byte offset it concerns.
func describe(err error) string {
	var typ *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &typ):
		return fmt.Sprintf("field %s: want %s, have %s", typ.Field, typ.Type, typ.Value)
	case errors.As(err, &syntax):
		return fmt.Sprintf("byte %d: %s", syntax.Offset, syntax)
	case errors.As(err, &large):
		return fmt.Sprintf("larger than %d bytes", large.Limit)
	case errors.Is(err, io.EOF):
		return "empty"
	default:
		return strings.TrimPrefix(err.Error(), "json: ")
	}
}

func (a *api) badRequest(w http.ResponseWriter, message string) {
	a.Metrics.Map("operator_refused").Add("bad_request", 1)
	reply(w, http.StatusBadRequest, ErrorReply{message})
}

func (a *api) platformError(w http.ResponseWriter, err error) {
	a.Metrics.Map("operator_refused").Add("platform", 1)
	reply(w, http.StatusServiceUnavailable, ErrorReply{err.Error()})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

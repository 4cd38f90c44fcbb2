package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/calllog"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/denial"
	"github.com/cactusproxy/cactusproxy/routing"
)

// lastCallLog is a CallLog that keeps the last call.
type lastCallLog struct{ last calllog.Call }

func (c *lastCallLog) Ended(call calllog.Call) { c.last = call }

// smallBodyConfig is a configuration with one route whose bodies are limited to ten bytes.
func smallBodyConfig(version uint64) *routing.Config {
	return &routing.Config{
		Version:  version,
		Routes:   []routing.Route{{Name: "lots", Host: "auction.example", Prefix: "/lots/", Kind: routing.Upload, Timeout: time.Second, Split: []routing.WeightedService{{Service: "lots", Weight: 1}}}},
		Services: []routing.Service{{Name: "lots"}},
		Limits:   routing.Limits{MaxBodyBytes: 10},
	}
}

// newRouteServer returns a server for a platform that declares routes; version 0 means that it has
// no configuration.
func newRouteServer(t *testing.T, version uint64, confirmation blackboard.Confirmation) (*Server, *lastCallLog) {
	t.Helper()
	s, _, board := newServer(t)
	if version > 0 {
		board.Routes.Store(routing.NewTable(smallBodyConfig(version), rand.New(rand.NewPCG(1, 1))))
	}
	board.Confirmation.Store(confirmation)
	log := new(lastCallLog)
	s.deps.Finder = NewRouteFinder(board, nopConfirmer{})
	s.deps.CallLog = log
	return s, log
}

func requestUnknownRoute(s *Server) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ProxyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://auction.example/nowhere/", nil))
	return w
}

// The log entry of a denied call must tell operators which configuration version denied it and
// whether the host had heard of a newer one.
func TestLineOfADeniedCallTellsWhatTheHostKnew(t *testing.T) {
	s, log := newRouteServer(t, 2, blackboard.Confirmation{Newest: 2, At: time.Now()})
	assert.Equal(t, requestUnknownRoute(s).Code, http.StatusNotFound)
	assert.Equal(t, log.last.ConfigVersion, uint64(2))
	assert.Equal(t, log.last.Result.Reason, outcome.ReasonNoRoute)
	assert.Check(t, strings.HasPrefix(log.last.Result.Detail, "newest=2 confirmed "), log.last.Result.Detail)
}

// A host without a configuration can't say that a request has no route, since another host may
// have one.
func TestHostWithoutAConfigurationDeniesNothing(t *testing.T) {
	s, log := newRouteServer(t, 0, blackboard.Confirmation{Newest: 2, At: time.Now()})
	w := requestUnknownRoute(s)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, log.last.Result.Reason, outcome.ReasonNotReady)
	assert.Check(t, w.Header().Get("Retry-After") != "")
}

// A host has an outdated configuration: it has heard of a newer one, or has had no confirmation
// for too long. Callers of a route that it doesn't know must be told to retry and that their
// request did not run; with a 404 they would give up.
func TestOutdatedHostTellsCallersToRetry(t *testing.T) {
	for name, heard := range map[string]blackboard.Confirmation{
		"newer version known":    {Newest: 5, At: time.Now()},
		"confirmed too long ago": {Newest: 2, At: time.Now().Add(-2 * denial.MaxAge)},
		"never confirmed":        {},
	} {
		s, log := newRouteServer(t, 2, heard)
		w := requestUnknownRoute(s)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable, name)
		assert.Equal(t, w.Header().Get(outcome.HeaderOutcome), outcome.NotRun.String(), name)
		assert.Check(t, w.Header().Get("Retry-After") != "", name)
		assert.Equal(t, log.last.Result.Reason, outcome.ReasonConfigUnconfirmed, name)
		assert.Check(t, log.last.Result.Detail != "", name)
	}
}

// The operator has just raised the body limit. A host with an outdated configuration must not
// respond with 413, because callers don't retry that.
func TestOutdatedHostDoesNotRefuseLargeBody(t *testing.T) {
	for _, length := range []int64{11, -1} {
		for newest, want := range map[uint64]int{2: http.StatusRequestEntityTooLarge, 5: http.StatusServiceUnavailable} {
			s, log := newRouteServer(t, 2, blackboard.Confirmation{Newest: newest, At: time.Now()})
			s.memory = semaphore.NewWeighted(2 * maxReplayBody)
			r := httptest.NewRequest(http.MethodPost, "http://auction.example/lots/", strings.NewReader("eleven byte"))
			r.ContentLength = length
			w := httptest.NewRecorder()
			s.ProxyHandler().ServeHTTP(w, r)
			assert.Equal(t, w.Code, want, "length %d, newest %d", length, newest)
			assert.Equal(t, log.last.ConfigVersion, uint64(2))
		}
	}
}

// nopConfirmer is a Confirmer that learns nothing.
type nopConfirmer struct{}

func (nopConfirmer) Confirm(context.Context) {}

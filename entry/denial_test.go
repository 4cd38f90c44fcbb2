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

// calls is a CallLog that keeps the last call.
type calls struct{ last calllog.Call }

func (c *calls) Ended(call calllog.Call) { c.last = call }

// smallBodies is a configuration with one route, whose bodies may have ten bytes.
func smallBodies(version uint64) *routing.Config {
	return &routing.Config{
		Version:  version,
		Routes:   []routing.Route{{Name: "lots", Host: "auction.example", Prefix: "/lots/", Kind: routing.Upload, Timeout: time.Second, Split: []routing.WeightedService{{Service: "lots", Weight: 1}}}},
		Services: []routing.Service{{Name: "lots"}},
		Limits:   routing.Limits{MaxBodyBytes: 10},
	}
}

// newRouteServer returns a server of a platform that declares routes; the version is 0 if it
// knows no configuration.
func newRouteServer(t *testing.T, version uint64, heard blackboard.Confirmation) (*Server, *calls) {
	t.Helper()
	s, _, board := newServer(t)
	if version > 0 {
		board.Routes.Store(routing.NewTable(smallBodies(version), rand.New(rand.NewPCG(1, 1))))
	}
	board.Confirmation.Store(heard)
	log := new(calls)
	s.deps.Finder = NewRouteFinder(board, nobody{})
	s.deps.Calls = log
	return s, log
}

func askNowhere(s *Server) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Calls().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://auction.example/nowhere/", nil))
	return w
}

// An operator must see from the line of a call that was denied by which version it was, and
// whether the host had heard of a newer one.
func TestLineOfADeniedCallTellsWhatTheHostKnew(t *testing.T) {
	s, log := newRouteServer(t, 2, blackboard.Confirmation{Newest: 2, At: time.Now()})
	assert.Equal(t, askNowhere(s).Code, http.StatusNotFound)
	assert.Equal(t, log.last.ConfigVersion, uint64(2))
	assert.Equal(t, log.last.Result.Reason, outcome.ReasonNoRoute)
	assert.Check(t, strings.HasPrefix(log.last.Result.Detail, "newest=2 confirmed "), log.last.Result.Detail)
}

// A host that knows no configuration can not say that a request has no route: another host may
// have one.
func TestHostWithoutAConfigurationDeniesNothing(t *testing.T) {
	s, log := newRouteServer(t, 0, blackboard.Confirmation{Newest: 2, At: time.Now()})
	w := askNowhere(s)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, log.last.Result.Reason, outcome.ReasonNotReady)
	assert.Check(t, w.Header().Get("Retry-After") != "")
}

// A host is behind: it heard of a newer configuration, or nothing for too long. Callers of a
// route that it does not know are told to come again, at any host, and that their request did
// not run; a 404 would have them give up.
func TestHostThatIsBehindHasCallersComeAgain(t *testing.T) {
	for name, heard := range map[string]blackboard.Confirmation{
		"a newer one was heard of": {Newest: 5, At: time.Now()},
		"confirmed too long ago":   {Newest: 2, At: time.Now().Add(-2 * denial.MaxAge)},
		"never confirmed":          {},
	} {
		s, log := newRouteServer(t, 2, heard)
		w := askNowhere(s)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable, name)
		assert.Equal(t, w.Header().Get(outcome.HeaderOutcome), outcome.NotRun.String(), name)
		assert.Check(t, w.Header().Get("Retry-After") != "", name)
		assert.Equal(t, log.last.Result.Reason, outcome.ReasonConfigUnconfirmed, name)
		assert.Check(t, log.last.Result.Detail != "", name)
	}
}

// The operator has just allowed larger bodies. A host that is behind must not tell the caller
// of one that it is too large: 413 is not repeated, as 404 is not.
func TestHostThatIsBehindCallsNoBodyTooLarge(t *testing.T) {
	for _, length := range []int64{11, -1} {
		for newest, want := range map[uint64]int{2: http.StatusRequestEntityTooLarge, 5: http.StatusServiceUnavailable} {
			s, log := newRouteServer(t, 2, blackboard.Confirmation{Newest: newest, At: time.Now()})
			s.memory = semaphore.NewWeighted(2 * maxReplayBody)
			r := httptest.NewRequest(http.MethodPost, "http://auction.example/lots/", strings.NewReader("eleven byte"))
			r.ContentLength = length
			w := httptest.NewRecorder()
			s.Calls().ServeHTTP(w, r)
			assert.Equal(t, w.Code, want, "length %d, newest %d", length, newest)
			assert.Equal(t, log.last.ConfigVersion, uint64(2))
		}
	}
}

// nobody is a Confirmer that learns nothing.
type nobody struct{}

func (nobody) Confirm(context.Context) {}

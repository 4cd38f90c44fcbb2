package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// recorder is a Dispatcher that keeps the last call and returns a fixed reply.
type recorder struct {
	call  *dispatch.Call
	body  string
	reply dispatch.Reply
}

func (d *recorder) Admit(*dispatch.Call) (func(), outcome.Result) {
	return func() {}, outcome.Result{}
}

func (d *recorder) Do(_ context.Context, c *dispatch.Call) *dispatch.Reply {
	d.call = c
	b, _ := io.ReadAll(c.Body.Reader())
	d.body = string(b)
	return &d.reply
}

func testConfig() *declare.Config {
	return &declare.Config{Sequence: 1, Workspaces: []declare.Workspace{{
		Name:      "auction",
		HostNames: []string{"auction.example"},
		Services: []declare.Service{
			{Name: "lots", PathPrefix: "/lots", Timeout: time.Second, MaxAttempts: 2, MaxReplayBody: 16, MaxBody: 64},
			{Name: "bids", PathPrefix: "/lots/bids", Timeout: time.Second, AtMostOnce: []declare.CallRule{{Method: "POST"}}},
		},
	}}}
}

func newServer(t *testing.T) (*Server, *recorder, *blackboard.Board) {
	t.Helper()
	board := blackboard.New()
	t.Cleanup(func() { _ = board.Close() })
	board.Config.Store(testConfig())
	board.Status.Store(blackboard.Status{ConfigConfirmed: true})
	d := &recorder{reply: dispatch.Reply{Result: outcome.Refuse(outcome.ReasonNoTarget)}}
	s := New(Deps{
		Board: board, Dispatcher: d, Metrics: metrics.New(), BodyMemory: 1 << 10,
		ConfigFresh: func() bool { return true },
		IssueKey:    func(w, s, c string) string { return w + "/" + s + "/" + c },
	})
	return s, d, board
}

func do(s *Server, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func TestRoutesByHostAndPath(t *testing.T) {
	s, d, _ := newServer(t)
	for _, tc := range []struct{ url, service, path string }{
		{"http://auction.example/lots/7", "lots", "/lots/7"},
		{"http://AUCTION.example:8080/lots/bids/1", "bids", "/lots/bids/1"},
		{"http://10.0.0.1/auction/lots", "lots", "/lots"},
		{"http://auction.example/lotsale", "", ""},
		{"http://other.example/nowhere/lots", "", ""},
	} {
		d.call = nil
		w := do(s, httptest.NewRequest(http.MethodGet, tc.url, nil))
		if tc.service == "" {
			assert.Equal(t, w.Header().Get(outcome.HeaderReason), string(outcome.ReasonNoRoute))
			continue
		}
		assert.Equal(t, d.call.Key.Service, tc.service)
		assert.Equal(t, d.call.URL.Path, tc.path)
	}
}

func TestAtMostOnceCallsAreMarked(t *testing.T) {
	s, d, _ := newServer(t)
	r := httptest.NewRequest(http.MethodPost, "http://auction.example/lots/bids", nil)
	r.Header.Set(HeaderIdempotencyKey, "k")
	do(s, r)
	assert.Check(t, d.call.AtMostOnce)
	assert.Equal(t, d.call.Idempotency, dispatch.NonIdempotent)
	assert.Equal(t, d.call.IdempotencyKey, "k")
}

// A target that sends the outcome header, or a caller that does, must not be able to spoof the
// outcome that cactusproxy sets.
func TestSpoofedHeadersAreRemovedBothWays(t *testing.T) {
	s, d, _ := newServer(t)
	d.reply = dispatch.Reply{
		Result: outcome.Refuse(outcome.ReasonShed), Status: 503,
		Header: http.Header{outcome.HeaderOutcome: {"answered"}},
	}
	r := httptest.NewRequest(http.MethodGet, "http://auction.example/lots", nil)
	r.Header.Set(outcome.HeaderOutcome, "answered")
	r.Header.Set("Connection", "X-Private")
	r.Header.Set("X-Private", "1")
	r.Header.Set("X-Public", "1")
	w := do(s, r)
	assert.Equal(t, w.Header().Get(outcome.HeaderOutcome), "not-run")
	assert.Equal(t, d.call.Header.Get(outcome.HeaderOutcome), "")
	assert.Equal(t, d.call.Header.Get("X-Private"), "")
	assert.Equal(t, d.call.Header.Get("X-Public"), "1")
}

func TestTargetsLearnWhoCalled(t *testing.T) {
	s, d, _ := newServer(t)
	r := httptest.NewRequest(http.MethodGet, "http://auction.example/lots", nil)
	r.RemoteAddr = "10.0.0.7:4711"
	r.Header.Set("X-Forwarded-For", "203.0.113.9")
	do(s, r)
	assert.Equal(t, d.call.Header.Get("X-Forwarded-For"), "203.0.113.9, 10.0.0.7")
	assert.Equal(t, d.call.Header.Get("X-Forwarded-Proto"), "http")
	assert.Equal(t, r.Header.Get("X-Forwarded-For"), "203.0.113.9")
}

func TestBodiesAreKeptOrStreamedBySize(t *testing.T) {
	s, d, _ := newServer(t)
	send := func(n int) *httptest.ResponseRecorder {
		d.call = nil
		body := strings.Repeat("x", n)
		return do(s, httptest.NewRequest(http.MethodPut, "http://auction.example/lots", strings.NewReader(body)))
	}
	send(16)
	assert.Equal(t, len(d.body), 16)
	send(17)
	_, inMemory := d.call.Body.Bytes()
	assert.Check(t, !inMemory)
	w := send(65)
	assert.Check(t, d.call == nil)
	assert.Equal(t, w.Code, http.StatusRequestEntityTooLarge)
}

// A caller sends half a body and then nothing. It must get a response at its deadline, not when
// the connection ends, and nothing may be sent to a target.
func TestBodyThatNeverEndsIsRefusedAtTheDeadline(t *testing.T) {
	s, d, _ := newServer(t)
	server := httptest.NewServer(s)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /lots HTTP/1.1\r\nHost: auction.example\r\n"+
		targetapi.Default().Timeout+": 100\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	start := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.Header.Get(outcome.HeaderOutcome), outcome.NotRun.String())
	assert.Check(t, time.Since(start) < 5*time.Second)
	assert.Check(t, d.call == nil)
}

func TestCallerCanOnlyShortenItsOwnCall(t *testing.T) {
	s, d, _ := newServer(t)
	r := httptest.NewRequest(http.MethodGet, "http://auction.example/lots", nil)
	r.Header.Set(targetapi.Default().Attempts, "9")
	do(s, r)
	assert.Equal(t, d.call.MaxAttempts, 2)
	r.Header.Set(targetapi.Default().Attempts, "1")
	r.Header.Set(targetapi.Default().Timeout, "100")
	do(s, r)
	assert.Equal(t, d.call.MaxAttempts, 1)
	assert.Equal(t, s.timeout(r, time.Second), 100*time.Millisecond)
	r.Header.Set(targetapi.Default().Timeout, "5000")
	assert.Equal(t, s.timeout(r, time.Second), time.Second)
	r.Header.Set(targetapi.Default().Depth, "32")
	assert.Equal(t, do(s, r).Header().Get(outcome.HeaderReason), string(outcome.ReasonTooDeep))
}

// The target's response is truncated. The caller's connection must break, because a response that
// ends normally would look complete.
func TestBrokenAnswerBreaksTheCallersConnection(t *testing.T) {
	s, d, _ := newServer(t)
	half := io.NopCloser(io.MultiReader(strings.NewReader("hal"), brokenReader{}))
	d.reply = dispatch.Reply{Status: 200, Length: 8, Body: dispatch.NewReplyBody(half, nil)}
	srv := httptest.NewServer(s)
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/auction/lots")
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

func TestHostThatLeavesServesAndAsksForANewConnection(t *testing.T) {
	s, d, board := newServer(t)
	board.Status.Store(blackboard.Status{ConfigConfirmed: true, Leaving: true})
	w := do(s, httptest.NewRequest(http.MethodGet, "http://auction.example/lots", nil))
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Check(t, d.call != nil)
	assert.Equal(t, do(s, httptest.NewRequest(http.MethodGet, PathReady, nil)).Code, http.StatusServiceUnavailable)
}

// After a pause of the process, the host doesn't know whether its configuration is still the
// newest. Callers must be refused immediately with not-run.
func TestHostWithoutConfirmedConfigurationRefuses(t *testing.T) {
	s, d, board := newServer(t)
	board.Status.Store(blackboard.Status{})
	w := do(s, httptest.NewRequest(http.MethodGet, "http://auction.example/lots", nil))
	assert.Equal(t, w.Header().Get(outcome.HeaderOutcome), "not-run")
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	assert.Check(t, d.call == nil)
}

// A request with a key is refused before its claim is looked up. Its first attempt may have run
// through another host, so the caller must get the outcome unknown and retry with the same key. A
// call without a key, or an idempotent one, gets not-run.
func TestRefusalOfAKeyBeforeItsClaimIsUnknown(t *testing.T) {
	s, _, board := newServer(t)
	for _, tc := range []struct {
		ready             bool
		method, path, key string
		want              string
	}{
		{false, "POST", "/lots/bids", "k", "unknown not-ready"},
		{false, "POST", "/lots/bids", "", "not-run not-ready"},
		{true, "POST", "/nowhere", "k", "unknown no-route"},
		{true, "GET", "/nowhere", "", "not-run no-route"},
		{true, "POST", "/lots/bids", "k", "unknown too-deep"},
		{true, "PUT", "/lots", "k", "not-run too-deep"},
		{true, "CONNECT", "/lots", "", "not-run bad-request"},
	} {
		board.Status.Store(blackboard.Status{ConfigConfirmed: tc.ready})
		r := httptest.NewRequest(tc.method, "http://auction.example"+tc.path, nil)
		r.Header.Set(targetapi.Default().Depth, "32")
		if tc.key != "" {
			r.Header.Set(HeaderIdempotencyKey, tc.key)
		}
		assert.Equal(t, do(s, r).Body.String(), tc.want+"\n")
	}
}

func TestKeysAreIssuedForKnownServices(t *testing.T) {
	s, _, _ := newServer(t)
	w := do(s, httptest.NewRequest(http.MethodPost, "/.cactusproxy/keys/auction/bids", nil))
	assert.Equal(t, w.Body.String(), "auction/bids/\n")
	w = do(s, httptest.NewRequest(http.MethodPost, "/.cactusproxy/keys/auction/none", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Callers have a timeout of 1.5 s. A caller that retries after a refusal sends 1.1 s: the picker
// must take the 0.4 s of prior wait into account, while the arrival time of the call stays the
// time of this request.
func TestPriorWaitOfARetryingCaller(t *testing.T) {
	s, d, board := newServer(t)
	board.Routes.Store(routing.NewTable(&routing.Config{
		Version:  1,
		Routes:   []routing.Route{{Name: "r", Host: "a.example", Prefix: "/", Kind: routing.Safe, Timeout: time.Second, Objective: time.Second, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []routing.Service{{Name: "s"}},
	}, rand.New(rand.NewPCG(1, 1))))
	s.deps.Finder = NewRouteFinder(board, nopConfirmer{})
	send := func(ms string) *dispatch.Call {
		r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
		r.Header.Set(s.deps.Contract.Timeout, ms)
		s.ProxyHandler().ServeHTTP(httptest.NewRecorder(), r)
		return d.call
	}
	for range 20 {
		assert.Equal(t, send("1500").PriorWait, time.Duration(0))
	}
	assert.Equal(t, send("1100").PriorWait, 400*time.Millisecond)
	assert.Check(t, time.Since(d.call.Arrived) < 400*time.Millisecond)
}

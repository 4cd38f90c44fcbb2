package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// fakePicker grants targets t1, t2, ... up to a limit and then refuses.
type fakePicker struct {
	mu       sync.Mutex
	targets  int
	granted  int
	released []pick.Class
	// silent is reported in the basis of each grant: targets that don't report load.
	silent bool
	// firstSendBy is until when the grant for t1 holds.
	firstSendBy time.Time
}

func (p *fakePicker) Pick(context.Context, pick.Request) (pick.Grant, outcome.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.granted == p.targets {
		return nil, outcome.Refuse(outcome.ReasonNoTarget)
	}
	p.granted++
	return &fakeGrant{picker: p, id: ports.HostID("t" + string(rune('0'+p.granted)))}, outcome.Result{}
}

func (p *fakePicker) reports() []pick.Class {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.released
}

type fakeGrant struct {
	picker *fakePicker
	id     ports.HostID
}

// Basis implements pick.Explainer.
func (g *fakeGrant) Basis() pick.Basis {
	b := pick.Basis{LoadUnreported: g.picker.silent}
	if g.id == "t1" {
		b.SendBy = g.picker.firstSendBy
	}
	return b
}

func (g *fakeGrant) Target() blackboard.Target {
	return blackboard.Target{ID: g.id, Addr: string(g.id) + ":80"}
}

func (g *fakeGrant) Release(r pick.Report) {
	g.picker.mu.Lock()
	defer g.picker.mu.Unlock()
	g.picker.released = append(g.picker.released, r.Class)
}

// behavior is how a fake target handles a request.
type behavior func(req *http.Request) upstream.Result

// fakeUpstream maps each target to its behavior.
type fakeUpstream map[ports.HostID]behavior

func (u fakeUpstream) RoundTrip(req *http.Request, t blackboard.Target, o upstream.SendOptions) upstream.Result {
	o.BeforeSend()
	return u[t.ID](req)
}

func respond(status int, body string, header http.Header) behavior {
	return func(*http.Request) upstream.Result {
		return upstream.Result{Sent: true, Response: newResponse(status, io.NopCloser(strings.NewReader(body)), int64(len(body)), header)}
	}
}

func newResponse(status int, body io.ReadCloser, length int64, h http.Header) *http.Response {
	if h == nil {
		h = make(http.Header)
	}
	return &http.Response{StatusCode: status, Header: h, Body: body, ContentLength: length}
}

func shed() behavior {
	return respond(http.StatusServiceUnavailable, "", http.Header{targetapi.HeaderShed: {targetapi.Yes}})
}

func breakConn(sent bool) behavior {
	return func(*http.Request) upstream.Result {
		return upstream.Result{Sent: sent, Err: errors.New("connection lost")}
	}
}

// slow responds after a delay unless the attempt is canceled first.
func slow(d time.Duration, then behavior) behavior {
	return func(req *http.Request) upstream.Result {
		select {
		case <-time.After(d):
			return then(req)
		case <-req.Context().Done():
			return upstream.Result{Sent: true, Err: req.Context().Err()}
		}
	}
}

// harness is a Dispatcher with fake dependencies.
type harness struct {
	picker *fakePicker
	d      *Dispatcher
	m      *metrics.Set
}

func newHarness(t *testing.T, targets ...behavior) *harness {
	t.Helper()
	up := make(fakeUpstream)
	for i, b := range targets {
		up[ports.HostID("t"+string(rune('1'+i)))] = b
	}
	board := blackboard.New()
	t.Cleanup(func() { _ = board.Close() })
	b := &harness{picker: &fakePicker{targets: len(targets)}, m: metrics.New()}
	b.d = New(Deps{Board: board, Picker: b.picker, Upstream: up, Metrics: b.m})
	return b
}

func (b *harness) do(t *testing.T, ctx context.Context, c *Call) *Reply {
	t.Helper()
	// An earlier call fills the budget for two retries.
	b.d.workspace(c.Workspace).recordCall(c.Workspace)
	release, refusal := b.d.Admit(c)
	if release == nil {
		return &Reply{Result: refusal}
	}
	defer release()
	return b.d.Do(ctx, c)
}

func newCall(method string) *Call {
	ws := &declare.Workspace{
		Name:       "w",
		RetryRatio: 1,
		Services:   []declare.Service{{Name: "s", MaxAttempts: 3}},
	}
	return &Call{
		Workspace:   ws,
		Service:     &ws.Services[0],
		Key:         blackboard.ServiceKey{Workspace: "w", Service: "s"},
		Method:      method,
		URL:         &url.URL{Path: "/"},
		Header:      make(http.Header),
		Body:        MemoryBody([]byte("body")),
		Idempotency: IdempotencyOf(method),
		MaxAttempts: 3,
	}
}

func readReply(t *testing.T, r *Reply) (string, error) {
	t.Helper()
	if r.Body == nil {
		return "", nil
	}
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	return string(b), err
}

type upstreamResult = upstream.Result

// errReader fails every read.
type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

func targetAt(addr string) blackboard.Target {
	return blackboard.Target{ID: "t1", Addr: addr}
}

func request(t *testing.T, ctx context.Context, method string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://target/", nil)
	assert.NilError(t, err)
	return req
}

func readAll(t *testing.T, r Result) string {
	t.Helper()
	assert.NilError(t, r.Err)
	b, err := io.ReadAll(r.Response.Body)
	assert.NilError(t, err)
	assert.NilError(t, r.Response.Body.Close())
	return string(b)
}

// The target reads a POST without a body, but with an idempotency key, on a kept-alive connection
// and closes the connection without a response. net/http's Transport would resend such a request.
// The caller must see a failed attempt, and the target must receive the request only once.
func TestRequestIsNotRepeatedWhenKeptConnectionCloses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var runs atomic.Int32
	go closeSecondRequest(l, &runs)

	p := New(Options{})
	defer p.Close()
	post := func() Result {
		req := request(t, context.Background(), http.MethodPost)
		req.Header.Set("Idempotency-Key", "k1")
		return p.RoundTrip(req, targetAt(l.Addr().String()), SendOptions{})
	}
	readAll(t, post())
	second := post()
	assert.Check(t, second.Err != nil)
	assert.Check(t, second.Sent)
	assert.Equal(t, runs.Load(), int32(2))
}

// closeSecondRequest responds to the first request on each connection and closes the connection
// after it has read the second.
func closeSecondRequest(l net.Listener, runs *atomic.Int32) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for i := range 2 {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				runs.Add(1)
				if i == 0 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
		}()
	}
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	p := New(Options{})
	r := p.RoundTrip(request(t, context.Background(), http.MethodGet), targetAt(addr), SendOptions{})
	assert.Check(t, r.Err != nil)
	assert.Check(t, !r.Sent)
}

func TestConnectionOutlivesTheRequestThatOpenedIt(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	defer s.Close()
	p := New(Options{})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	first := readAll(t, p.RoundTrip(request(t, ctx, http.MethodGet), targetAt(s.Listener.Addr().String()), SendOptions{}))
	cancel()
	second := readAll(t, p.RoundTrip(request(t, context.Background(), http.MethodGet), targetAt(s.Listener.Addr().String()), SendOptions{}))
	assert.Equal(t, first, second)
}

func TestNonIdempotentRequestAvoidsLongIdleConnections(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	defer s.Close()
	p := New(Options{NonIdempotentMaxIdle: time.Nanosecond})
	defer p.Close()
	tg := targetAt(s.Listener.Addr().String())
	first := readAll(t, p.RoundTrip(request(t, context.Background(), http.MethodGet), tg, SendOptions{MaxConns: 1}))
	second := readAll(t, p.RoundTrip(request(t, context.Background(), http.MethodPost), tg, SendOptions{MaxConns: 1, NonIdempotent: true}))
	assert.Check(t, first != second)
}

func TestConnectionLimitRefusesWithoutSending(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer s.Close()
	defer close(release)
	p := New(Options{})
	tg := targetAt(s.Listener.Addr().String())
	held := p.RoundTrip(request(t, context.Background(), http.MethodGet), tg, SendOptions{MaxConns: 1})
	assert.NilError(t, held.Err)
	refused := p.RoundTrip(request(t, context.Background(), http.MethodGet), tg, SendOptions{MaxConns: 1})
	assert.Check(t, errors.Is(refused.Err, ErrConnLimit))
	assert.Check(t, !refused.Sent)
	assert.NilError(t, held.Response.Body.Close())
}

// Guards against requests to a target that left while the connection was being opened.
func TestRequestIsNotSentToATargetThatLeftMeanwhile(t *testing.T) {
	ran := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	defer s.Close()
	p := New(Options{})
	defer p.Close()
	tg := targetAt(s.Listener.Addr().String())
	usable := true
	o := SendOptions{MaxConns: 1, Usable: func() bool {
		before := usable
		usable = false
		return before
	}}
	res := p.RoundTrip(request(t, context.Background(), http.MethodGet), tg, o)
	assert.Check(t, errors.Is(res.Err, ErrTargetLeft))
	assert.Check(t, !res.Sent && ran == 0)
	readAll(t, p.RoundTrip(request(t, context.Background(), http.MethodGet), tg, o)) // the limit has room again
	assert.Equal(t, ran, 1)
}

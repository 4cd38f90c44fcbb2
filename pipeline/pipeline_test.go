package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pipeline"
)

// testServer is an http.Server with a Pipeline on a loopback port.
type testServer struct {
	t        *testing.T
	server   *http.Server
	pipeline *pipeline.Pipeline
	metrics  *metrics.Set
	addr     string
	// conns counts the connections that the server has accepted.
	conns atomic.Int32
}

// serve starts a server for a handler. Requests whose path begins with /alone may not run ahead.
func serve(t *testing.T, h http.Handler, change func(*pipeline.Options)) *testServer {
	t.Helper()
	return serveIdle(t, h, change, time.Minute)
}

// serveIdle is serve with an idle timeout.
func serveIdle(t *testing.T, h http.Handler, change func(*pipeline.Options), idle time.Duration) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{t: t, metrics: metrics.New(), addr: l.Addr().String()}
	memory := &meter{limit: 64 << 20}
	opts := pipeline.Options{
		MayRunAhead: func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/alone") },
		Memory:      memory,
		Metrics:     s.metrics,
	}
	if change != nil {
		change(&opts)
	}
	s.pipeline = pipeline.New(opts)
	s.server = &http.Server{Handler: overtakable(opts.MayRunAhead, h), ReadHeaderTimeout: time.Minute, IdleTimeout: idle}
	s.server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.conns.Add(1)
		}
	}
	s.pipeline.Attach(s.server)
	go func() { _ = s.server.Serve(s.pipeline.Listener(l)) }()
	go func() { _ = s.server.Serve(s.pipeline.Ahead(l.Addr())) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		await(t, "all memory is returned", func() bool { return memory.held() == 0 })
	})
	return s
}

// overtakable lets requests be overtaken that may run ahead themselves.
func overtakable(may func(*http.Request) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if may(r) {
			pipeline.AllowOvertaking(r)
		}
		next.ServeHTTP(w, r)
	})
}

// caller is a client that sends on one connection without waiting for responses.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *caller {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = nc.Close() })
	assert.NilError(s.t, nc.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{s.t, nc, bufio.NewReader(nc)}
}

func get(path string, lines ...string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, strings.Join(lines, ""))
}

func (c *caller) send(requests ...string) {
	c.t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	assert.NilError(c.t, err)
}

// expect reads the next response and checks its body.
func (c *caller) expect(body string) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err, "waiting for %q", body)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(got), body)
	return resp
}

// Guards against head-of-line blocking and against responses in another order than their requests.
func TestResponsesAreInOrder(t *testing.T) {
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(200 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), nil)
	c := s.dial()
	begin := time.Now()
	c.send(get("/slow"), get("/1"), get("/slow"), get("/slow"), get("/2"))
	for _, path := range []string{"/slow", "/1", "/slow", "/slow", "/2"} {
		c.expect(path)
	}
	took := time.Since(begin)
	assert.Check(t, took < 500*time.Millisecond, "three requests of 200 ms took %v", took)
}

// skipContinue reads a response with status 100.
func (c *caller) skipContinue() {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	assert.Equal(c.t, resp.StatusCode, http.StatusContinue)
}

// meter is a Memory that records how much is held.
type meter struct {
	limit int64

	mu        sync.Mutex
	now, peak int64
}

// TryAcquire implements pipeline.Memory.
func (m *meter) TryAcquire(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now+n > m.limit {
		return false
	}
	m.now += n
	m.peak = max(m.peak, m.now)
	return true
}

// Release implements pipeline.Memory.
func (m *meter) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now -= n
}

func (m *meter) held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *meter) most() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

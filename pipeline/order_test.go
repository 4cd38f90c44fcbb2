package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pipeline"
)

// gate is a handler that records requests and holds those whose path begins with /held until open is
// closed or their context is canceled.
type gate struct {
	open chan struct{}

	mu       sync.Mutex
	started  []string
	canceled []string
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

// ServeHTTP implements http.Handler. It responds with the request's path.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	g.add(&g.started, r.URL.Path)
	if strings.HasPrefix(r.URL.Path, "/held") {
		select {
		case <-g.open:
		case <-r.Context().Done():
			g.add(&g.canceled, r.URL.Path)
		}
	}
	switch {
	case strings.HasSuffix(r.URL.Path, "/abort"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func (g *gate) add(list *[]string, path string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*list = append(*list, path)
}

func (g *gate) has(list *[]string, path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range *list {
		if p == path {
			return true
		}
	}
	return false
}

func (g *gate) hasStarted(path string) bool  { return g.has(&g.started, path) }
func (g *gate) hasCanceled(path string) bool { return g.has(&g.canceled, path) }

// await polls until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within 5 s: %s", what)
}

// settle is how long a test waits for something that must not happen.
const settle = 100 * time.Millisecond

// Guards against a request that overtakes one that may not be repeated, and against one that may not
// be repeated and overtakes others.
func TestNothingOvertakesARequestThatMayNotBeRepeated(t *testing.T) {
	for _, alone := range []string{
		get("/alone"),
		"POST /held/post HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST /held/empty HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		get("/held/body", "Content-Length: 2\r\n") + "xy",
		get("/held/key", "Idempotency-Key: 1\r\n"),
		get("/held/expect", "Content-Length: 1\r\nExpect: 100-continue\r\n") + "x",
		get("/held/upgrade", "Connection: upgrade\r\nUpgrade: x\r\n"),
		"POST /held/chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		g := newGate()
		s := serve(t, g, nil)
		c := s.dial()
		path := strings.Fields(alone)[1]
		c.send(get("/held/first"), alone, get("/last"))
		await(t, "the first request", func() bool { return g.hasStarted("/held/first") })
		time.Sleep(settle)
		assert.Check(t, !g.hasStarted(path), "%s overtook", path)
		assert.Check(t, !g.hasStarted("/last"), "a request overtook %s", path)
		close(g.open)
		c.expect("/held/first")
		if strings.Contains(path, "expect") {
			c.skipContinue()
		}
		c.expect(path)
		c.expect("/last")
		assert.DeepEqual(t, g.started, []string{"/held/first", path, "/last"})
	}
}

// Guards against requests that run beside a first one that may not be repeated.
func TestNothingOvertakesAFirstRequestThatMayNotBeRepeated(t *testing.T) {
	for _, first := range []string{
		"POST /held/first HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		get("/held/first", "Idempotency-Key: 1\r\n"),
		get("/held/first", "Content-Length: 1\r\n") + "x",
	} {
		for _, together := range []bool{true, false} {
			g := newGate()
			c := serve(t, g, nil).dial()
			c.send(first)
			if !together {
				await(t, "the first request", func() bool { return g.hasStarted("/held/first") })
			}
			c.send(get("/1"), get("/2"))
			await(t, "the first request", func() bool { return g.hasStarted("/held/first") })
			time.Sleep(settle)
			assert.Check(t, !g.hasStarted("/1"))
			close(g.open)
			for _, path := range []string{"/held/first", "/1", "/2"} {
				c.expect(path)
			}
		}
	}
}

// Guards against requests that go on running for a caller that is gone.
func TestCallersDisconnectCancelsAllRequests(t *testing.T) {
	for _, bytes := range []string{"", "GET /part"} {
		g := newGate()
		s := serve(t, g, nil)
		c := s.dial()
		c.send(get("/held/1"), get("/held/2"), get("/held/3"), bytes)
		await(t, "all requests", func() bool { return g.hasStarted("/held/3") && g.hasStarted("/held/2") })
		assert.NilError(t, c.Close())
		begin := time.Now()
		await(t, "cancellation", func() bool {
			return g.hasCanceled("/held/1") && g.hasCanceled("/held/2") && g.hasCanceled("/held/3")
		})
		assert.Check(t, time.Since(begin) < 500*time.Millisecond)
		assert.Equal(t, s.metrics.Map("pipeline").Get("dropped").String(), "2")
	}
}

// Guards against a disconnect that goes unnoticed because nothing is read while a request waits.
func TestCallersDisconnectIsNoticedWhileARequestWaits(t *testing.T) {
	g := newGate()
	c := serve(t, g, nil).dial()
	c.send(get("/held/1"), get("/held/2"), get("/alone"), get("/3"))
	await(t, "two requests", func() bool { return g.hasStarted("/held/1") && g.hasStarted("/held/2") })
	time.Sleep(settle)
	assert.NilError(t, c.Close())
	begin := time.Now()
	await(t, "cancellation", func() bool { return g.hasCanceled("/held/1") && g.hasCanceled("/held/2") })
	assert.Check(t, time.Since(begin) < 500*time.Millisecond)
}

// Guards against responses behind one that broke off: the caller can't tell where they begin. Those
// before it must be delivered, and what runs behind it must be canceled.
func TestAbortedResponseEndsTheConnectionInItsTurn(t *testing.T) {
	for _, paths := range [][]string{
		{"/0/abort", "/held/1", "/held/2"},
		{"/slow", "/1/abort", "/held/2"},
		{"/slow", "/1", "/2/abort", "/held/3"},
	} {
		g := newGate()
		slow := make(chan struct{})
		s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" || r.URL.Path == "/0/abort" {
				<-slow
			}
			g.ServeHTTP(w, r)
		}), nil)
		c := s.dial()
		for _, path := range paths {
			c.send(get(path))
		}
		last := paths[len(paths)-1]
		if paths[0] != "/slow" {
			await(t, "the last request", func() bool { return g.hasStarted(last) })
			close(slow)
		} else {
			// The response broke off before its turn.
			await(t, "cancellation", func() bool { return g.hasCanceled(last) || !g.hasStarted(last) })
			time.Sleep(settle)
			close(slow)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "/abort") {
				break
			}
			c.expect(path)
		}
		_, err := c.reader.ReadByte()
		assert.Check(t, err != nil, "bytes behind an aborted response")
		await(t, "cancellation", func() bool { return g.hasCanceled(last) || !g.hasStarted(last) })
		await(t, "the limits", func() bool { return s.pipeline.Settled() })
	}
}

// Guards against running requests behind a response that closes the connection: callers take them
// for unread and send them again.
func TestNothingStartsBehindAResponseThatCloses(t *testing.T) {
	g := newGate()
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held/last" {
			assert.Check(t, pipeline.Last(r))
			w.Header().Set("Connection", "close")
		} else if r.URL.Path == "/held/1" {
			assert.Check(t, !pipeline.Last(r), "two requests are the last")
		}
		g.ServeHTTP(w, r)
	}), func(o *pipeline.Options) { o.PerConnection = 2 })
	c := s.dial()
	c.send(get("/held/0"), get("/held/1"), get("/held/last"), get("/4"))
	await(t, "the last request", func() bool { return g.hasStarted("/held/last") })
	close(g.open)
	c.expect("/held/0")
	c.expect("/held/1")
	assert.Check(t, c.expect("/held/last").Close)
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF, "the last response must not be lost to a reset")
	assert.Check(t, !g.hasStarted("/4"))
}

// Guards against a last response that is lost to a connection reset because of unread requests.
func TestLastResponseIsDeliveredBeforeUnreadRequests(t *testing.T) {
	g := newGate()
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pipeline.Last(r) {
			w.Header().Set("Connection", "close")
		}
		g.ServeHTTP(w, r)
	}), func(o *pipeline.Options) { o.PerConnection = 1 })
	for range 20 {
		c := s.dial()
		c.send(get("/0"), get("/1"), get("/2"), strings.Repeat(get("/more"), 500))
		for range 3 {
			resp, err := http.ReadResponse(c.reader, nil)
			assert.NilError(t, err)
			_, err = io.ReadAll(resp.Body)
			assert.NilError(t, err)
			if resp.Close {
				break
			}
		}
		_, err := c.reader.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
}

// Guards against a shutdown that loses requests that run ahead, or announces the close before the
// last response.
func TestDrainAnswersWhatRuns(t *testing.T) {
	g := newGate()
	s := serve(t, g, nil)
	c := s.dial()
	c.send(get("/held/0"), get("/held/1"), get("/held/2"))
	await(t, "all requests", func() bool { return g.hasStarted("/held/1") && g.hasStarted("/held/2") })
	s.pipeline.Drain()
	c.send(get("/3"))
	time.Sleep(settle)
	assert.Check(t, !g.hasStarted("/3"))
	assert.Check(t, !s.pipeline.Settled())
	close(g.open)
	c.expect("/held/0")
	c.expect("/held/1")
	c.expect("/held/2")
	c.expect("/3")
	await(t, "settled", s.pipeline.Settled)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.server.Shutdown(ctx))
}

// Guards against a connection that net/http closes as idle while a request runs ahead on it.
func TestShutdownWaitsForTheRequestThatRunsAhead(t *testing.T) {
	g := newGate()
	s := serve(t, g, nil)
	c := s.dial()
	c.send(get("/0"), get("/held/1"))
	c.expect("/0")
	await(t, "the second request", func() bool { return g.hasStarted("/held/1") })
	var done atomic.Bool
	go func() {
		_ = s.server.Shutdown(context.Background())
		done.Store(true)
	}()
	time.Sleep(settle)
	assert.Check(t, !done.Load())
	close(g.open)
	c.expect("/held/1")
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	await(t, "the end of the shutdown", done.Load)
}

// Guards against a shutdown that takes requests for done whose responses wait for their turn.
func TestResponsesThatWaitForTheirTurnAreUndelivered(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		g := newGate()
		s := serve(t, g, nil)
		c := s.dial()
		c.send(get("/held/0"), get("/1"), get("/2"))
		await(t, "two undelivered responses", func() bool { return s.pipeline.Undelivered() == 2 })
		assert.Check(t, !s.pipeline.Settled())
		if leaves {
			assert.NilError(t, c.Close())
		} else {
			close(g.open)
			for _, path := range []string{"/held/0", "/1", "/2"} {
				c.expect(path)
			}
		}
		await(t, "no undelivered response", func() bool { return s.pipeline.Undelivered() == 0 })
	}
}

// Guards against in-memory connections that are kept for good, and against requests that are mixed up
// on those that are used again.
func TestInMemoryConnectionsAreUsedAgainAndEnd(t *testing.T) {
	memory := &meter{limit: 1 << 20}
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/0") {
			time.Sleep(10 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), func(o *pipeline.Options) { o.Memory = memory })
	c := s.dial()
	for i := range 10 {
		for j := range 4 {
			c.send(get(fmt.Sprintf("/%d/%d", i, j)))
		}
		for j := range 4 {
			c.expect(fmt.Sprintf("/%d/%d", i, j))
		}
	}
	assert.Check(t, s.conns.Load() <= 10, "%d connections", s.conns.Load())
	await(t, "all memory is returned", func() bool { return memory.held() == 0 })
	c.send(get("/9/0"), get("/last"))
	c.expect("/9/0")
	c.expect("/last")
}

// Guards against idle connections that stay open for good after requests ran ahead on them, and
// against requests that run for longer than the idle timeout and are cut off.
func TestIdleTimeoutBeginsAfterTheLastResponse(t *testing.T) {
	const idle = 200 * time.Millisecond
	g := newGate()
	c := serveIdle(t, g, nil, idle).dial()
	c.send(get("/0"), get("/held/1"))
	c.expect("/0")
	time.Sleep(2 * idle)
	close(g.open)
	c.expect("/held/1")
	c.send(get("/held/2"), get("/3"))
	c.expect("/held/2")
	c.expect("/3")
	begin := time.Now()
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	took := time.Since(begin)
	assert.Check(t, took > idle/2 && took < 10*idle, "closed after %v", took)
}

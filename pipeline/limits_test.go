package pipeline_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pipeline"
)

// counter returns a counter of the metrics map.
func (s *testServer) counter(name string) string {
	return s.metrics.Map("pipeline").Get(name).String()
}

// Guards against a caller that takes more than its share: the request beyond the limit must wait and
// must be served.
func TestLimitOfAConnection(t *testing.T) {
	g := newGate()
	s := serve(t, g, func(o *pipeline.Options) { o.PerConnection = 2 })
	c := s.dial()
	for i := range 5 {
		c.send(get(fmt.Sprint("/held/", i)))
	}
	await(t, "three requests", func() bool { return g.hasStarted("/held/1") && g.hasStarted("/held/2") })
	time.Sleep(settle)
	assert.Check(t, !g.hasStarted("/held/3"))
	assert.Equal(t, s.counter("bound_connection"), "1")
	close(g.open)
	for i := range 5 {
		c.expect(fmt.Sprint("/held/", i))
	}
	bound, err := strconv.Atoi(s.counter("bound_connection"))
	assert.NilError(t, err)
	assert.Check(t, bound <= 2, "the two requests beyond the limit were counted %d times", bound)
}

// Guards against callers that together take more than the host's limit. All requests must be served.
func TestLimitOfAHost(t *testing.T) {
	g := newGate()
	s := serve(t, g, func(o *pipeline.Options) { o.PerHost = 3 })
	callers := []*caller{s.dial(), s.dial()}
	for i, c := range callers {
		for j := range 4 {
			c.send(get(fmt.Sprintf("/held/%d/%d", i, j)))
		}
		time.Sleep(settle)
	}
	assert.Check(t, g.hasStarted("/held/0/3"))
	assert.Check(t, g.hasStarted("/held/1/0"))
	assert.Check(t, !g.hasStarted("/held/1/1"))
	assert.Equal(t, s.counter("ahead"), "3")
	assert.Equal(t, s.counter("bound_host"), "1")
	close(g.open)
	for i, c := range callers {
		for j := range 4 {
			c.expect(fmt.Sprintf("/held/%d/%d", i, j))
		}
	}
}

// Guards against a host that runs out of memory, or refuses requests for lack of it: without memory
// requests must be served one after another.
func TestWithoutMemoryRequestsAreServedOneAfterAnother(t *testing.T) {
	for _, memory := range []int64{0, 5 << 10, 21 << 10} {
		g := newGate()
		s := serve(t, g, func(o *pipeline.Options) { o.Memory = semaphore.NewWeighted(memory) })
		c := s.dial()
		c.send(get("/held/0"))
		await(t, "the first request", func() bool { return g.hasStarted("/held/0") })
		for i := 1; i < 4; i++ {
			c.send(get(fmt.Sprint("/held/", i)))
		}
		time.Sleep(settle)
		assert.Check(t, !g.hasStarted("/held/2"))
		close(g.open)
		for i := range 4 {
			c.expect(fmt.Sprint("/held/", i))
		}
		assert.Check(t, s.counter("bound_memory") != "0")
	}
}

// Guards against a caller that sends without end while its first request runs: reading must stop, and
// resume afterwards.
func TestReadingStopsAtTheLimits(t *testing.T) {
	for _, first := range []string{"/held/0", "/alone/held"} {
		g := newGate()
		memory := &meter{limit: 64 << 20}
		s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/alone/held" {
				<-g.open
			}
			g.ServeHTTP(w, r)
		}), func(o *pipeline.Options) { o.PerConnection, o.Memory = 4, memory })
		c := s.dial()
		assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
		c.send(get(first))
		// Far more than the buffers of a connection on loopback (6 MB).
		const requests = 10_000
		padding := "X-Padding: " + strings.Repeat("x", 2000) + "\r\n"
		sent := make(chan error, 1)
		go func() {
			for range requests {
				if _, err := io.WriteString(c, get("/next", padding)); err != nil {
					sent <- err
					return
				}
			}
			sent <- nil
		}()
		select {
		case err := <-sent:
			t.Fatalf("all bytes were read: %v", err)
		case <-time.After(5 * settle):
		}
		most := memory.most()
		assert.Check(t, most < 256<<10, "%d bytes held", most)
		close(g.open)
		c.expect(first)
		for range requests {
			c.expect("/next")
		}
		assert.NilError(t, <-sent)
		await(t, "all memory is returned", func() bool { return memory.held() == 0 })
	}
}

// Guards against requests of very many short fields that fill a host's memory before their turn: parsed, each takes more
// than ten times the bytes that are accounted for. They must be served in turn.
func TestRequestWithManyFieldsWaitsForItsTurn(t *testing.T) {
	g := newGate()
	s := serve(t, g, nil)
	c := s.dial()
	c.send(get("/held/0"), get("/held/1", strings.Repeat("a:\r\n", 200)), get("/held/2"))
	await(t, "the first request", func() bool { return g.hasStarted("/held/0") })
	time.Sleep(settle)
	assert.Check(t, !g.hasStarted("/held/1"))
	close(g.open)
	for i := range 3 {
		c.expect(fmt.Sprint("/held/", i))
	}
}

package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// pipelinedCaller is a client that sends requests on one connection without waiting for responses.
type pipelinedCaller struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func (l *localCluster) pipelinedCaller(d *daemon) *pipelinedCaller {
	l.t.Helper()
	nc, err := net.Dial("tcp", d.CallersAddr())
	assert.NilError(l.t, err)
	l.t.Cleanup(func() { _ = nc.Close() })
	assert.NilError(l.t, nc.SetDeadline(time.Now().Add(time.Minute)))
	return &pipelinedCaller{t: l.t, Conn: nc, reader: bufio.NewReader(nc)}
}

// pipelined returns the text of a request without a body. lines are additional header lines.
func pipelined(method, path, id string, lines ...string) string {
	var more strings.Builder
	for _, line := range lines {
		more.WriteString(line + "\r\n")
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n%s\r\n",
		method, path, hostName, standin.HeaderRequestID, id, standin.HeaderDeadline, more.String())
}

// send writes requests in one segment.
func (c *pipelinedCaller) send(requests ...string) {
	c.t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	assert.NilError(c.t, err)
}

// read reads the next response.
func (c *pipelinedCaller) read() (response, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return response{id: resp.Header.Get(standin.HeaderRequestID), status: resp.StatusCode, body: string(body), header: resp.Header, closed: resp.Close}, err
}

// expect reads the next response and checks that it is that of a request.
func (c *pipelinedCaller) expect(id string, status int) response {
	c.t.Helper()
	r, err := c.read()
	assert.NilError(c.t, err, "response to %s", id)
	assert.Equal(c.t, r.id, id)
	assert.Equal(c.t, r.status, status, "response to %s", id)
	if status == http.StatusOK {
		assert.Equal(c.t, r.body, standin.ResponseBody(id, 0))
	}
	return r
}

// startOf returns when a request started at a target; zero if it did not.
func (l *localCluster) startOf(id string) time.Time {
	for _, tg := range l.targets {
		if at, ok := tg.StartTimes()[id]; ok {
			return at
		}
	}
	return time.Time{}
}

// slowRoute adds a route to a target that takes this long for a request.
func (l *localCluster) slowRoute(work time.Duration) {
	l.t.Helper()
	tg := l.addTarget("slow-0", "slow")
	tg.Work = work
	tg.Slots, tg.Queue = 64, 64
	l.configure(2, standin.Route{Name: "slow", Host: hostName, Prefix: "/slow/", Type: "safe", Service: "slow", Timeout: "5s", MaxAttempts: 2})
	l.await("the slow route", func() bool {
		resp, err := http.Get("http://" + l.daemons[0].CallersAddr())
		if err == nil {
			_ = resp.Body.Close()
		}
		table := l.daemons[0].Board().Routes.Load()
		return table.Config.Version == 2 && len(l.daemons[0].Board().Targets.Load().ByService) == 3
	})
}

// gatedTarget runs no request until open returns true, for 3 s at most.
type gatedTarget struct {
	*standin.Target
	open func(id string) bool
	// late is set if a request was run although open had not returned true.
	late atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *gatedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	end := time.Now().Add(3 * time.Second) // the deadline of the request is 4 s
	for r.URL.Path != standin.HealthPath && !g.open(r.Header.Get(standin.HeaderRequestID)) {
		if time.Now().After(end) {
			g.late.Store(true)
			break
		}
		time.Sleep(time.Millisecond)
	}
	g.Target.ServeHTTP(w, r)
}

// Two requests are sent at once or one after another, and the first is answered only once the second
// runs. Guards against head-of-line blocking, and against responses in another order.
func TestPipelinedRequestRunsBesideASlowOne(t *testing.T) {
	l := newLocalCluster(t, 1)
	tg := &gatedTarget{Target: &standin.Target{ID: "slow-0", Slots: 2, Queue: 4}}
	tg.open = func(id string) bool { return !l.startOf("second of " + id).IsZero() }
	server := httptest.NewServer(tg)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.store.Put("servers", tg.ID, tg.Entry("slow", server.Listener.Addr().String(), "a", "ready"))
	l.configure(2, standin.Route{Name: "slow", Host: hostName, Prefix: "/slow/", Type: "safe", Service: "slow", Timeout: "9s", MaxAttempts: 1})
	l.awaitVersion(2, "slow")
	for i := range 10 {
		c := l.pipelinedCaller(l.daemons[0])
		first := fmt.Sprint("first", i)
		requests := []string{pipelined("GET", "/slow/1", first), pipelined("GET", "/lots/2", "second of "+first)}
		if i%2 == 0 {
			c.send(requests...)
		} else {
			c.send(requests[0])
			time.Sleep(20 * time.Millisecond)
			c.send(requests[1])
		}
		c.expect(first, http.StatusOK)
		c.expect("second of "+first, http.StatusOK)
		assert.Check(t, !tg.late.Load(), "the second request waited for the first")
	}
}

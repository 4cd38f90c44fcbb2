package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// earlyTarget responds to each upload before it has read it. For /lots/reads it then reads the
// rest and keeps the connection, for /lots/waits it waits for a while and closes the connection,
// and for other paths it closes the connection immediately. It counts requests for /lots/inside.
type earlyTarget struct{ smuggled atomic.Int32 }

const earlyBody = "early"

func (e *earlyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lots/inside" {
		e.smuggled.Add(1)
	}
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(w, r.URL.Path)
		return
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	if r.URL.Path != "/lots/reads" {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(earlyBody)))
	_, _ = io.WriteString(w, earlyBody)
	_ = control.Flush()
	switch r.URL.Path {
	case "/lots/reads":
		_, _ = io.Copy(io.Discard, r.Body)
	case "/lots/waits":
		time.Sleep(100 * time.Millisecond)
	}
}

// singleTarget is a Picker that grants the target at one address to every call.
type singleTarget string

func (t singleTarget) Pick(context.Context, pick.Request) (pick.Grant, outcome.Result) {
	return t, outcome.Result{}
}

func (t singleTarget) Target() blackboard.Target { return blackboard.Target{ID: "t1", Addr: string(t)} }

func (t singleTarget) Release(pick.Report) {}

// startEntry starts a target and a Server in front of it, and returns the Server's address. The
// test fails if net/http responds to anything by itself, because all requests are valid.
func startEntry(t *testing.T, target http.Handler) string {
	t.Helper()
	return startEntryWith(t, target, func(*Deps) {})
}

// startEntryWith is startEntry with other settings.
func startEntryWith(t *testing.T, target http.Handler, change func(*Deps)) string {
	t.Helper()
	back := httptest.NewServer(target)
	board := blackboard.New()
	board.Config.Store(&declare.Config{Sequence: 1, Workspaces: []declare.Workspace{{
		Name: "auction", HostNames: []string{"auction.example"},
		Services: []declare.Service{{
			Name: "lots", PathPrefix: "/lots", Timeout: 10 * time.Second, MaxAttempts: 1, MaxReplayBody: 16, MaxBody: 8 << 20,
		}},
	}}})
	board.Status.Store(blackboard.Status{ConfigConfirmed: true})
	m := metrics.New()
	pools := upstream.New(upstream.Options{})
	d := dispatch.New(dispatch.Deps{
		Board: board, Picker: singleTarget(back.Listener.Addr().String()), Upstream: pools, Metrics: m, ResponseBufferBytes: 1 << 20,
	})
	deps := Deps{Board: board, Dispatcher: d, Metrics: m, BodyMemory: 1 << 20, ConfigFresh: func() bool { return true }}
	change(&deps)
	s := New(deps)
	front := httptest.NewUnstartedServer(s)
	monitor := NewServerResponseMonitor(zap.NewNop(), m, "")
	front.Listener = monitor.Listener(front.Listener)
	monitor.Attach(front.Config)
	front.Start()
	t.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
		pools.Close()
		back.CloseClientConnections()
		back.Close()
		_ = board.Close()
		counted := m.Map("answers_of_http").String()
		assert.Check(t, counted == "{}", counted)
	})
	return front.Listener.Addr().String()
}

// clientConn is a client connection to a server.
type clientConn struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func newClientConn(t *testing.T, addr string) *clientConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return &clientConn{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *clientConn) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// readResponse reads a response and its body.
func (c *clientConn) readResponse(method string) (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp, string(body)
}

// upload returns the header and the body of an upload as they are sent on the wire.
func upload(path, content string, chunked bool) (head, body string) {
	head = "POST " + path + " HTTP/1.1\r\nHost: auction.example\r\n"
	if !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(content)), content
	}
	const chunk = 1000 // bytes
	var b strings.Builder
	for len(content) > 0 {
		n := min(chunk, len(content))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", b.String() + "0\r\n\r\n"
}

// A target responds to an upload early; the caller receives the complete response, sends the
// rest of the upload and then its next request on the same connection. If reading the upload
// stops in the middle of a chunk when the response ends, net/http parses the rest of the upload
// as a request and responds to the caller's valid request with a 400 that isn't logged.
func TestRequestAfterAnEarlyAnswerIsServed(t *testing.T) {
	addr := startEntry(t, new(earlyTarget))
	for _, path := range []string{"/lots/reads", "/lots/waits", "/lots/ends"} {
		for _, chunked := range []bool{false, true} {
			for _, size := range []int{100, 5000, 255 << 10, 300 << 10, 2 << 20} {
				for _, percent := range []int{50, 99, 100} {
					name := fmt.Sprintf("%s/chunked=%v/%d/%d", path[6:], chunked, size, percent)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						head, body := upload(path, strings.Repeat("x", size), chunked)
						checkEarlyResponse(t, addr, head, body, len(body)*percent/100)
					})
				}
			}
		}
	}
}

// checkEarlyResponse sends a part of an upload, reads the response, sends the rest and then
// another request, on a new connection if the response asks for one.
func checkEarlyResponse(t *testing.T, addr, head, body string, first int) {
	c := newClientConn(t, addr)
	assert.NilError(t, c.send(head+body[:first]))
	resp, text := c.readResponse(http.MethodPost)
	assert.Equal(t, text, earlyBody)
	err := c.send(body[first:])
	if resp.Close {
		c = newClientConn(t, addr)
	} else {
		assert.NilError(t, err)
	}
	assert.NilError(t, c.send("GET /lots/next HTTP/1.1\r\nHost: auction.example\r\n\r\n"))
	resp, text = c.readResponse(http.MethodGet)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", text)
	assert.Equal(t, text, "/lots/next")
}

// A target responds to an upload early and the caller keeps sending. If the rest of the upload
// looks like a request, by chance or on purpose, it must not be parsed as one (request
// smuggling): the caller would take its response for the one to its next request.
func TestContentOfAnUploadIsNeverARequest(t *testing.T) {
	target := new(earlyTarget)
	addr := startEntry(t, target)
	const smuggled = "GET /lots/inside HTTP/1.1\r\nHost: auction.example\r\n\r\n"
	c := newClientConn(t, addr)
	head := "POST /lots/reads HTTP/1.1\r\nHost: auction.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	first := fmt.Sprintf("%x\r\n%s", 100+len(smuggled), strings.Repeat("x", 100))
	assert.NilError(t, c.send(head+first))
	c.readResponse(http.MethodPost)
	time.Sleep(50 * time.Millisecond) // until the host has finished with the upload
	_ = c.send(smuggled)              // the connection may already be closed
	resp, err := http.ReadResponse(c.r, nil)
	assert.Check(t, err != nil, "%v", resp)
	assert.Equal(t, target.smuggled.Load(), int32(0))
}

// A target rejects an upload, and the host reports that before the upload has ended. The caller's
// next request must be served.
func TestRequestAfterAnUploadRefusedEarlyIsServed(t *testing.T) {
	addr := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		w.Header().Set(targetapi.HeaderShed, targetapi.Yes)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	for _, chunked := range []bool{false, true} {
		c := newClientConn(t, addr)
		head, body := upload("/lots/7", strings.Repeat("x", 300<<10), chunked)
		assert.NilError(t, c.send(head+body[:300]))
		resp, text := c.readResponse(http.MethodPost)
		assert.Equal(t, text, "not-run shed\n")
		assert.Check(t, resp.Close)
		_ = c.send(body[300:]) // the connection may already be closed
		c = newClientConn(t, addr)
		assert.NilError(t, c.send("GET /lots/next HTTP/1.1\r\nHost: auction.example\r\n\r\n"))
		resp, _ = c.readResponse(http.MethodGet)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// The connection must stay open after an upload that was read completely before its response,
// with either transfer encoding.
func TestConnectionStaysAfterAnUpload(t *testing.T) {
	addr := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		_, _ = fmt.Fprint(w, n)
	}))
	c := newClientConn(t, addr)
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{0, 1, 16, 17, 5000, 300 << 10, 2 << 20} {
			head, body := upload("/lots/7", strings.Repeat("x", size), chunked)
			assert.NilError(t, c.send(head+body))
			resp, text := c.readResponse(http.MethodPost)
			assert.Equal(t, text, fmt.Sprint(size))
			assert.Check(t, !resp.Close)
		}
	}
}

// A caller stops in the middle of its upload once it has the response, or waits for 100 Continue
// and never starts its upload. Its connection must be closed within a second.
func TestConnectionOfAnUnfinishedUploadIsClosed(t *testing.T) {
	addr := startEntry(t, new(earlyTarget))
	for _, sent := range []string{
		"Content-Length: 5000\r\n\r\nsome",
		"Transfer-Encoding: chunked\r\n\r\n40\r\nenough to be a stream",
		"Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n",
	} {
		c := newClientConn(t, addr)
		assert.NilError(t, c.send("POST /lots/ends HTTP/1.1\r\nHost: auction.example\r\n"+sent))
		resp, err := http.ReadResponse(c.r, nil)
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(c.r, nil)
		}
		assert.NilError(t, err)
		assert.Check(t, resp.Close)
		start := time.Now()
		_, _ = io.Copy(io.Discard, c.r) // reads the response body up to the end of the connection
		assert.Check(t, time.Since(start) < 2*drainTimeout, "%v", time.Since(start))
	}
}

// A caller sends Connection: close, then its whole upload, and only then reads the response. The
// response comes early, and net/http closes the connection immediately after such a request even
// if the rest of the upload is still arriving: the connection would be reset and the response
// lost.
func TestEarlyAnswerReachesCallerThatCloses(t *testing.T) {
	addr := startEntry(t, new(earlyTarget))
	for path, want := range map[string]int{"/none": http.StatusNotFound, "/lots/ends": http.StatusOK} {
		for _, chunked := range []bool{false, true} {
			for _, size := range []int{5000, 300 << 10, 4 << 20} {
				c := newClientConn(t, addr)
				head, body := upload(path, strings.Repeat("x", size), chunked)
				head = strings.Replace(head, "\r\n", "\r\nConnection: close\r\n", 1)
				assert.NilError(t, c.send(head+body), "%s %v %d", path, chunked, size)
				resp, _ := c.readResponse(http.MethodPost)
				assert.Equal(t, resp.StatusCode, want)
			}
		}
	}
}

// Guards against clients that keep a connection, and get no response, by an upload that stops short of its end where
// nothing of it is read: at a path without a route.
func TestUnfinishedUploadWithoutARouteIsAnswered(t *testing.T) {
	addr := startEntry(t, new(earlyTarget))
	for _, chunked := range []bool{false, true} {
		c := newClientConn(t, addr)
		head, body := upload("/nowhere/7", strings.Repeat("x", 100<<10), chunked)
		assert.NilError(t, c.send(head+body[:len(body)-10]))
		resp, _ := c.readResponse(http.MethodPost)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound)
		assert.Check(t, resp.Close)
	}
}

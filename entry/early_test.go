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

// earlyTarget answers each upload before it has read it. Under /lots/reads it reads on
// after that and keeps the connection, under /lots/waits it does nothing for a while and
// closes it, elsewhere it closes it at once. It counts requests for /lots/inside.
type earlyTarget struct{ inside atomic.Int32 }

const earlyAnswer = "early"

func (e *earlyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lots/inside" {
		e.inside.Add(1)
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
	w.Header().Set("Content-Length", fmt.Sprint(len(earlyAnswer)))
	_, _ = io.WriteString(w, earlyAnswer)
	_ = control.Flush()
	switch r.URL.Path {
	case "/lots/reads":
		_, _ = io.Copy(io.Discard, r.Body)
	case "/lots/waits":
		time.Sleep(100 * time.Millisecond)
	}
}

// oneTarget grants the target at an address to each call.
type oneTarget string

func (o oneTarget) Pick(context.Context, pick.Request) (pick.Grant, outcome.Result) {
	return o, outcome.Result{}
}

func (o oneTarget) Target() blackboard.Target { return blackboard.Target{ID: "t1", Addr: string(o)} }

func (o oneTarget) Release(pick.Report) {}

// startEntry starts a target and a server in front of it, and returns the server's address.
// The test fails if net/http answers anything by itself: all requests are proper.
func startEntry(t *testing.T, target http.Handler) string {
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
		Board: board, Picker: oneTarget(back.Listener.Addr().String()), Upstream: pools, Metrics: m, ResponseBufferBytes: 1 << 20,
	})
	s := New(Deps{Board: board, Dispatcher: d, Metrics: m, BodyMemory: 1 << 20, ConfigFresh: func() bool { return true }})
	front := httptest.NewUnstartedServer(s)
	own := NewServerResponseMonitor(zap.NewNop(), m, "")
	front.Listener = own.Listener(front.Listener)
	own.Attach(front.Config)
	front.Start()
	t.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
		pools.Close()
		back.CloseClientConnections()
		back.Close()
		_ = board.Close()
		own := m.Map("answers_of_http").String()
		assert.Check(t, own == "{}", own)
	})
	return front.Listener.Addr().String()
}

// caller is one connection to a server.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func newCaller(t *testing.T, addr string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return &caller{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *caller) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// answer reads an answer and its body.
func (c *caller) answer(method string) (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp, string(body)
}

// upload returns the head and the body of an upload as they go over the wire.
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

// The caller sends a proper request on the connection on which its upload was answered,
// and gets 400 of net/http's own, without a reason and without a line.
// The target answers the upload early; the caller has the whole answer, sends the rest of
// the upload and then the next request. The answer's end breaks off the reading of the
// upload in the middle of a chunk, and net/http takes the rest for a request.
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
						playEarlyAnswer(t, addr, head, body, len(body)*percent/100)
					})
				}
			}
		}
	}
}

// playEarlyAnswer sends an upload up to a byte, reads the answer, sends the rest and then
// another request, on a new connection if the answer asks for one.
func playEarlyAnswer(t *testing.T, addr, head, body string, first int) {
	c := newCaller(t, addr)
	assert.NilError(t, c.send(head+body[:first]))
	resp, text := c.answer(http.MethodPost)
	assert.Equal(t, text, earlyAnswer)
	err := c.send(body[first:])
	if resp.Close {
		c = newCaller(t, addr)
	} else {
		assert.NilError(t, err)
	}
	assert.NilError(t, c.send("GET /lots/next HTTP/1.1\r\nHost: auction.example\r\n\r\n"))
	resp, text = c.answer(http.MethodGet)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", text)
	assert.Equal(t, text, "/lots/next")
}

// The caller gets an answer that it did not ask for, and takes it for the one to its next
// request.
// The target answers the upload early, and the caller goes on sending. The rest of the
// upload begins, by chance or by intent, as a request does, and is read as one.
func TestContentOfAnUploadIsNeverARequest(t *testing.T) {
	target := new(earlyTarget)
	addr := startEntry(t, target)
	const inside = "GET /lots/inside HTTP/1.1\r\nHost: auction.example\r\n\r\n"
	c := newCaller(t, addr)
	head := "POST /lots/reads HTTP/1.1\r\nHost: auction.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	first := fmt.Sprintf("%x\r\n%s", 100+len(inside), strings.Repeat("x", 100))
	assert.NilError(t, c.send(head+first))
	c.answer(http.MethodPost)
	time.Sleep(50 * time.Millisecond) // until the host has done with the upload
	_ = c.send(inside)                // the connection may be closed by now
	resp, err := http.ReadResponse(c.r, nil)
	assert.Check(t, err != nil, "%v", resp)
	assert.Equal(t, target.inside.Load(), int32(0))
}

// An upload is refused by its target, and a host says so before the upload has ended. The
// caller's next request is served.
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
		c := newCaller(t, addr)
		head, body := upload("/lots/7", strings.Repeat("x", 300<<10), chunked)
		assert.NilError(t, c.send(head+body[:300]))
		resp, text := c.answer(http.MethodPost)
		assert.Equal(t, text, "not-run shed\n")
		assert.Check(t, resp.Close)
		_ = c.send(body[300:]) // it may be closed by now
		c = newCaller(t, addr)
		assert.NilError(t, c.send("GET /lots/next HTTP/1.1\r\nHost: auction.example\r\n\r\n"))
		resp, _ = c.answer(http.MethodGet)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// A connection stays in use after an upload that was read whole before its answer, however
// it was sent.
func TestConnectionStaysAfterAnUpload(t *testing.T) {
	addr := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		_, _ = fmt.Fprint(w, n)
	}))
	c := newCaller(t, addr)
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{0, 1, 16, 17, 5000, 300 << 10, 2 << 20} {
			head, body := upload("/lots/7", strings.Repeat("x", size), chunked)
			assert.NilError(t, c.send(head+body))
			resp, text := c.answer(http.MethodPost)
			assert.Equal(t, text, fmt.Sprint(size))
			assert.Check(t, !resp.Close)
		}
	}
}

// A caller stops in the middle of its upload once it has the answer, or does not begin one
// that it was to be asked for. Its connection is closed within a second.
func TestUploadThatStopsAtItsAnswerHoldsNothing(t *testing.T) {
	addr := startEntry(t, new(earlyTarget))
	for _, sent := range []string{
		"Content-Length: 5000\r\n\r\nsome",
		"Transfer-Encoding: chunked\r\n\r\n40\r\nenough to be a stream",
		"Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n",
	} {
		c := newCaller(t, addr)
		assert.NilError(t, c.send("POST /lots/ends HTTP/1.1\r\nHost: auction.example\r\n"+sent))
		resp, err := http.ReadResponse(c.r, nil)
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(c.r, nil)
		}
		assert.NilError(t, err)
		assert.Check(t, resp.Close)
		start := time.Now()
		_, _ = io.Copy(io.Discard, c.r) // the answer's body, and then the connection's end
		assert.Check(t, time.Since(start) < 2*restTime, "%v", time.Since(start))
	}
}

// A caller closes its connection after each request, sends its whole upload and then reads
// the answer: its connection is reset, and the answer lost.
// The answer comes early, and net/http closes the connection at once after a request that
// says Connection: close, though the rest of the upload is on its way.
func TestEarlyAnswerReachesCallerThatCloses(t *testing.T) {
	addr := startEntry(t, new(earlyTarget))
	for path, want := range map[string]int{"/none": http.StatusNotFound, "/lots/ends": http.StatusOK} {
		for _, chunked := range []bool{false, true} {
			for _, size := range []int{5000, 300 << 10, 4 << 20} {
				c := newCaller(t, addr)
				head, body := upload(path, strings.Repeat("x", size), chunked)
				head = strings.Replace(head, "\r\n", "\r\nConnection: close\r\n", 1)
				assert.NilError(t, c.send(head+body), "%s %v %d", path, chunked, size)
				resp, _ := c.answer(http.MethodPost)
				assert.Equal(t, resp.StatusCode, want)
			}
		}
	}
}

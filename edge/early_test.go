package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// earlyResponder responds to uploads before it has read the body, and then reads the rest.
type earlyResponder struct{ *standin.Target }

func (e earlyResponder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		e.Target.ServeHTTP(w, r)
		return
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	id := r.Header.Get(standin.HeaderRequestID)
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderSeal, "seal-"+id)
	w.Header().Set("Content-Length", "5")
	_, _ = io.WriteString(w, "early")
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// A target responds to an upload before the whole body has arrived, and the client sends its
// next request on the same connection unless the response closed it. Guards against the rest of
// the upload being parsed as a request, which net/http rejects with status 400.
func TestRequestsBetweenUploadsAnsweredEarlyAreServed(t *testing.T) {
	l := newLocalCluster(t, 1)
	tg := &standin.Target{ID: "early-0", Slots: 8, Queue: 8, Work: time.Millisecond}
	server := httptest.NewServer(earlyResponder{tg})
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.store.Put("servers", tg.ID, tg.Entry("early", server.Listener.Addr().String(), "a", "ready"))
	l.configure(2, standin.Route{Name: "early", Host: hostName, Prefix: "/early/", Type: "upload", Service: "early", Timeout: "2s", MaxAttempts: 1})
	l.await("the route", func() bool { return l.send(l.daemons[0], http.MethodGet, "/early/", "").status == http.StatusOK })
	statuses := make(map[int]int)
	for i := range 20 {
		statuses[l.statusAfterUpload(i)]++
	}
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: 20})
	assert.Equal(t, l.daemons[0].Metrics().Map("answers_of_http").String(), "{}")
}

// statusAfterUpload returns the status of a request that follows a chunked upload, or 0 if the
// connection is closed.
func (l *localCluster) statusAfterUpload(i int) int {
	conn, r := l.dial()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	const chunks = 40 // 2.5 MiB: more than is buffered for a retry
	_, err := fmt.Fprintf(conn, "POST /early/ HTTP/1.1\r\nHost: %s\r\n%s: up%d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		hostName, standin.HeaderRequestID, i, strings.Repeat(chunk, chunks))
	assert.NilError(l.t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(l.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(l.t, err)
	_, _ = io.WriteString(conn, chunk+"0\r\n\r\n") // the connection may be closed by now
	if resp.Close {
		conn, r = l.dial()
	}
	_, _ = fmt.Fprintf(conn, "GET /lots/7 HTTP/1.1\r\nHost: %s\r\n%s: next%d\r\n\r\n", hostName, standin.HeaderRequestID, i)
	resp, err = http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func (l *localCluster) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", l.daemons[0].CallersAddr())
	assert.NilError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(l.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

// Guards against an upload whose caller stops sending midway and gets no response at the route's timeout: the
// host waited for the rest of the body.
func TestUploadThatStopsMidwayIsAnsweredAtItsTimeout(t *testing.T) {
	const timeout = 600 * time.Millisecond
	l := newLocalCluster(t, 1)
	l.configure(2, standin.Route{Name: "slow", Host: hostName, Prefix: "/slow/", Type: "upload", Service: "lots", Timeout: "600ms", MaxAttempts: 1})
	l.await("the route", func() bool { return l.send(l.daemons[0], http.MethodGet, "/slow/", "").status == http.StatusOK })
	chunk := strings.Repeat("x", 64<<10)
	for name, framing := range map[string]string{"with a length": "Content-Length: 4000000\r\n\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			conn, r := l.dial()
			begin := time.Now()
			_, err := fmt.Fprintf(conn, "POST /slow/ HTTP/1.1\r\nHost: %s\r\n%s: stops-%d\r\n%s", hostName, standin.HeaderRequestID, begin.UnixNano(), framing)
			assert.NilError(t, err)
			for range 20 {
				piece := chunk
				if name == "in chunks" {
					piece = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
				}
				_, err := io.WriteString(conn, piece)
				assert.NilError(t, err)
			}
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
			took := time.Since(begin)
			assert.Check(t, took >= timeout && took < timeout+500*time.Millisecond, "%s", took)
		})
	}
}

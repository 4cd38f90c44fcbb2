package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// net/http rejects a malformed request with status 400 before a handler sees it, so that the
// request has no log line of its own. The response must show up in the counters, and in a log
// line with the client's address and the previous request on the connection.
func TestExplainAnswerOfHTTP(t *testing.T) {
	l := newLocalCluster(t, 1)
	d := l.daemons[0]
	conn, err := net.Dial("tcp", d.CallersAddr())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	r := bufio.NewReader(conn)
	sendWithHeaderLine(t, conn, r, "", http.StatusOK)
	sendWithHeaderLine(t, conn, r, "Bad Name: 1\r\n", http.StatusBadRequest)
	counted := d.Metrics().Map("answers_of_http").String()
	assert.Equal(t, counted, `{"400": 1}`)
	_, line, ok := strings.Cut(l.logs[0].String(), `level=warn msg="answered by net/http alone"`)
	assert.Assert(t, ok, l.logs[0].String())
	line, _, _ = strings.Cut(line, "\n")
	t.Log(counted, line)
	want := fmt.Sprintf(` host=h0 status=400 answer="400 Bad Request: invalid header name" caller=%s calls=1 after=before`, conn.LocalAddr())
	assert.Equal(t, line, want)
}

// sendWithHeaderLine sends a request with an additional header line and checks the status of the
// response.
func sendWithHeaderLine(t *testing.T, conn io.Writer, r *bufio.Reader, line string, status int) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET /lots/7 HTTP/1.1\r\nHost: %s\r\n%s: before\r\n%s\r\n", hostName, standin.HeaderRequestID, line)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
}

// No route matches OPTIONS *, so that it must get status 404. Guards against the handler of
// net/http, which responds with status 200 on its own.
func TestOptionsOfTheWholeServerHaveNoRoute(t *testing.T) {
	l := newLocalCluster(t, 1)
	assert.Equal(t, l.sendInHalves("OPTIONS * HTTP/1.1\r\nHost: "+hostName+"\r\n\r\n", 0), http.StatusNotFound)
	assert.Equal(t, l.daemons[0].Metrics().Map("answers_of_http").String(), "{}")
}

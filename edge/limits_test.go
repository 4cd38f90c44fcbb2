package edge_test

import (
	"bufio"
	"bytes"
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

// limit writes a configuration with changed limits and waits until it is in force. The arguments
// are pairs of a usual value and its replacement, in the notation of the document.
func (l *localCluster) limit(version uint64, usualAndOther ...string) {
	text := string(standin.Config(version, l.routes()...))
	l.store.Put("op", "config", []byte(strings.NewReplacer(usualAndOther...).Replace(text)))
	l.await("the limits", func() bool {
		return l.daemons[0].Board().Routes.Load().Config.Version == version
	})
}

const usualMaxHeader = 16384 // bytes, as in the configurations of package standin

// requestWithHeaderOf returns a request whose header has the given size in bytes.
func requestWithHeaderOf(size int) string {
	head := fmt.Sprintf("GET /lots/7 HTTP/1.1\r\nHost: %s\r\n%s: long\r\nX-Fill: ", hostName, standin.HeaderRequestID)
	const end = "\r\n\r\n"
	return head + strings.Repeat("x", size-len(head)-len(end)) + end
}

// sendInHalves sends a request in two halves, with a pause between them, and returns the status of
// the response.
func (l *localCluster) sendInHalves(text string, pause time.Duration) int {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.daemons[0].CallersAddr())
	assert.NilError(l.t, err)
	defer conn.Close()
	half := len(text) / 2
	_, err = io.WriteString(conn, text[:half])
	assert.NilError(l.t, err)
	time.Sleep(pause)
	_, err = io.WriteString(conn, text[half:])
	assert.NilError(l.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(l.t, err)
	assert.NilError(l.t, resp.Body.Close())
	return resp.StatusCode
}

// Requests within the configured limits must be served, also when a later configuration raises
// the limits up to the default maximum of the listener.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	l := newLocalCluster(t, 1)
	const larger = 16 * usualMaxHeader
	assert.Equal(t, l.sendInHalves(requestWithHeaderOf(usualMaxHeader), 0), http.StatusOK)
	assert.Equal(t, l.sendInHalves(requestWithHeaderOf(usualMaxHeader), 2900*time.Millisecond), http.StatusOK)
	l.limit(2, fmt.Sprint(usualMaxHeader), fmt.Sprint(larger))
	assert.Equal(t, l.sendInHalves(requestWithHeaderOf(larger), 0), http.StatusOK)
	assert.Equal(t, l.sendInHalves(requestWithHeaderOf(2*larger), 0), http.StatusRequestHeaderFieldsTooLarge)
	d := l.daemons[0]
	assert.Equal(t, d.Metrics().Map("answers_of_http").String(), `{"431": 1}`)
	assert.Check(t, !strings.Contains(l.logs[0].String(), "limits beyond"), l.logs[0].String())
}

// A configuration raises limits beyond those that the listener was started with. The host cannot
// apply them and must log an error once for each change.
func TestLimitsBeyondTheHostsAreLogged(t *testing.T) {
	l := newLocalCluster(t, 1)
	logged := func() int { return strings.Count(l.logs[0].String(), `msg="limits beyond those of this host"`) }
	l.limit(2, fmt.Sprint(usualMaxHeader), "1048576")
	l.await("a log line", func() bool { return logged() == 1 })
	l.limit(3, fmt.Sprint(usualMaxHeader), "1048576")
	l.limit(4, `"15000ms"`, `"600s"`)
	l.await("a log line", func() bool { return logged() == 2 })
	l.limit(5, `"3000ms"`, `"60s"`)
	l.await("a log line", func() bool { return logged() == 3 })
	for line := range strings.SplitSeq(l.logs[0].String(), "\n") {
		if strings.Contains(line, "limits beyond") {
			t.Log(line)
		}
	}
}

// The body limit is that of the configuration in force: a body of exactly this size is accepted,
// with a Content-Length or chunked, and a longer one is rejected.
func TestBodyLimitIsTheConfigurations(t *testing.T) {
	l := newLocalCluster(t, 1)
	status := func(size int, chunked bool) int {
		var body io.Reader = bytes.NewReader(make([]byte, size))
		if chunked {
			body = io.MultiReader(body) // hides the length from net/http
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+l.daemons[0].CallersAddr()+"/bids/7", body)
		assert.NilError(t, err)
		req.Host = hostName
		l.ids++
		req.Header.Set(standin.HeaderRequestID, fmt.Sprint("body", l.ids))
		resp, err := l.client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for i, limit := range []int{100, 1 << 20, 1<<20 + 1, 3 << 20} {
		l.limit(uint64(i+2), "67108864", fmt.Sprint(limit))
		for _, chunked := range []bool{false, true} {
			assert.Equal(t, status(limit, chunked), http.StatusOK, "%d %v", limit, chunked)
		}
		assert.Equal(t, status(limit+1, false), http.StatusRequestEntityTooLarge)
	}
}

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

// limit writes a configuration in which other limits stand for some of the usual ones,
// which are written as the store keeps them.
func (l *lab) limit(version uint64, usualAndOther ...string) {
	text := string(standin.Config(version, l.routes()...))
	l.store.Put("op", "config", []byte(strings.NewReplacer(usualAndOther...).Replace(text)))
	l.await("the limits", func() bool {
		return l.daemons[0].Board().Routes.Load().Config.Version == version
	})
}

const usualMaxHeader = 16384 // bytes; the limit of package standin

// longRequest is a request whose header has a size in bytes.
func longRequest(size int) string {
	head := fmt.Sprintf("GET /lots/7 HTTP/1.1\r\nHost: %s\r\n%s: long\r\nX-Fill: ", hostName, standin.HeaderRequestID)
	const end = "\r\n\r\n"
	return head + strings.Repeat("x", size-len(head)-len(end)) + end
}

// exchange sends a request in two parts and returns the status of its answer.
func (l *lab) exchange(text string, pause time.Duration) int {
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

// Callers stay within the operator's limits and are served, also by a configuration that
// came after the host's start and allows more; one that sends the most that a host takes
// is served too.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	l := newLab(t, 1)
	const larger = 16 * usualMaxHeader
	assert.Equal(t, l.exchange(longRequest(usualMaxHeader), 0), http.StatusOK)
	assert.Equal(t, l.exchange(longRequest(usualMaxHeader), 2900*time.Millisecond), http.StatusOK)
	l.limit(2, fmt.Sprint(usualMaxHeader), fmt.Sprint(larger))
	assert.Equal(t, l.exchange(longRequest(larger), 0), http.StatusOK)
	assert.Equal(t, l.exchange(longRequest(2*larger), 0), http.StatusRequestHeaderFieldsTooLarge)
	d := l.daemons[0]
	assert.Equal(t, d.Metrics().Map("answers_of_http").String(), `{"431": 1}`)
	assert.Check(t, !strings.Contains(l.logs[0].String(), "limits beyond"), l.logs[0].String())
}

// The operator allows more than the host was started with. It can not take that in, and
// says so once.
func TestLimitsBeyondTheHostsAreTold(t *testing.T) {
	l := newLab(t, 1)
	told := func() int { return strings.Count(l.logs[0].String(), `msg="limits beyond those of this host"`) }
	l.limit(2, fmt.Sprint(usualMaxHeader), "1048576")
	l.await("a line", func() bool { return told() == 1 })
	l.limit(3, fmt.Sprint(usualMaxHeader), "1048576")
	l.limit(4, `"15000ms"`, `"600s"`)
	l.await("a line", func() bool { return told() == 2 })
	l.limit(5, `"3000ms"`, `"60s"`)
	l.await("a line", func() bool { return told() == 3 })
	for line := range strings.SplitSeq(l.logs[0].String(), "\n") {
		if strings.Contains(line, "limits beyond") {
			t.Log(line)
		}
	}
}

// A body as long as the limit is served, by length and in chunks, a longer one is refused,
// and the limit is that of the configuration in force.
func TestBodyLimitIsTheConfigurations(t *testing.T) {
	l := newLab(t, 1)
	status := func(size int, chunked bool) int {
		var body io.Reader = bytes.NewReader(make([]byte, size))
		if chunked {
			body = io.MultiReader(body) // hides its length
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

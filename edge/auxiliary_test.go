package edge_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform"
)

// Guards against clients that keep the listener for readiness checks: by a body that stops short of its end, which net/http
// would wait for without a limit, or by a header that fills memory.
func TestReadinessListenerGivesUpClients(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 1)
	d := l.daemons[0]
	conn, err := net.Dial("tcp", d.ReadinessAddr())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	_, err = io.WriteString(conn, "POST "+platform.ReadyPath+" HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n12345678")
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err, "the connection stays open")
	assert.Check(t, strings.HasPrefix(string(answer), "HTTP/1.1 200"), "%s", answer)

	req, err := http.NewRequest(http.MethodGet, "http://"+d.ReadinessAddr()+platform.ReadyPath, nil)
	assert.NilError(t, err)
	req.Header.Set("X-Long", strings.Repeat("x", 64<<10))
	resp, err := l.client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

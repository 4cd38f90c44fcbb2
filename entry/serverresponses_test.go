package entry

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/logging"
	"github.com/cactusproxy/cactusproxy/metrics"
)

const (
	testRequestID = "Test-Request-Id"
	testMaxHeader = 8 << 10 // bytes
)

// monitoredServer is a server with a ServerResponseMonitor. Its handler reads the body and
// responds with its length, "-" and the path.
type monitoredServer struct {
	*httptest.Server
	metrics *metrics.Set
	mu      sync.Mutex
	log     bytes.Buffer
}

func newMonitoredServer(t *testing.T, start func(*httptest.Server)) *monitoredServer {
	t.Helper()
	s := &monitoredServer{metrics: metrics.New()}
	log, err := logging.New(s, "info")
	assert.NilError(t, err)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%d-%s", n, r.URL.Path)
	}))
	monitor := NewServerResponseMonitor(log, s.metrics, testRequestID)
	s.Listener = monitor.Listener(s.Listener)
	monitor.Attach(s.Config)
	s.Config.MaxHeaderBytes = testMaxHeader
	start(s.Server)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// Write implements io.Writer, for the log.
func (s *monitoredServer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(p)
}

func (s *monitoredServer) lines() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

func (s *monitoredServer) counted() string { return s.metrics.Map("answers_of_http").String() }

// exchange sends data on a new connection, closes the sending side and returns everything that it
// receives.
func exchange(t *testing.T, addr, text string) string {
	t.Helper()
	c := newClientConn(t, addr)
	_ = c.send(text) // the server may have responded and closed before it has read everything
	_ = c.conn.(*net.TCPConn).CloseWrite()
	got, _ := io.ReadAll(c.conn)
	return string(got)
}

const validRequest = "GET /lots HTTP/1.1\r\nHost: auction.example\r\nTest-Request-Id: r1\r\n\r\n"

// A request can't be parsed, so net/http responds by itself and no handler and no call log sees
// it. Operators must see what the caller was told, its address, and whether the connection
// served calls before.
func TestServerResponsesAreCountedAndLogged(t *testing.T) {
	for _, tc := range []struct{ name, text, status, answer string }{
		{"header name", "GET / HTTP/1.1\r\nHost: a\r\nbad name: 1\r\n\r\n", "400", "400 Bad Request: invalid header name"},
		{"header value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", "400", "400 Bad Request"},
		{"host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", "400", "400 Bad Request: malformed Host header"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400", "400 Bad Request: missing required Host header"},
		{"escape", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", "400", "400 Bad Request"},
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4*testMaxHeader) + "\r\n\r\n", "431", "431 Request Header Fields Too Large"},
		{"coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "501", "501 Not Implemented"},
		{"expectation", "POST / HTTP/1.1\r\nHost: a\r\nExpect: nonsense\r\nContent-Length: 0\r\n\r\n", "417", "417 Expectation Failed"},
		{"version", "GET / HTTP/3.0\r\nHost: a\r\n\r\n", "505", "505 HTTP Version Not Supported: unsupported protocol version"},
		{"half a request", "GET / HTTP/1.1\r\nHost", "400", "400 Bad Request"},
	} {
		for calls, before := range []string{"", validRequest, validRequest + validRequest} {
			t.Run(fmt.Sprint(tc.name, "/", calls), func(t *testing.T) {
				s := newMonitoredServer(t, (*httptest.Server).Start)
				got := exchange(t, s.Listener.Addr().String(), before+tc.text)
				assert.Check(t, strings.Contains(got, "HTTP/1.1 "+tc.status), "%s", got)
				assert.Equal(t, s.counted(), fmt.Sprintf("{%q: 1}", tc.status))
				want := fmt.Sprintf(`level=warn msg="answered by net/http alone" status=%s answer="%s" caller=127.0.0.1:`, tc.status, tc.answer)
				assert.Check(t, strings.Contains(s.lines(), want), "%s", s.lines())
				assert.Check(t, strings.Contains(s.lines(), fmt.Sprintf("calls=%d", calls)), "%s", s.lines())
				assert.Equal(t, strings.Contains(s.lines(), "after=r1\n"), calls > 0, "%s", s.lines())
			})
		}
	}
}

// The malformed request arrives after the first one has been answered. On an idle connection, the
// server reports no state change before its response if the request is read in one piece.
func TestServerResponseOnAnIdleConnectionIsCounted(t *testing.T) {
	s := newMonitoredServer(t, (*httptest.Server).Start)
	c := newClientConn(t, s.Listener.Addr().String())
	assert.NilError(t, c.send(validRequest))
	_, text := c.readResponse(http.MethodGet)
	assert.Equal(t, text, "0-/lots")
	assert.NilError(t, c.send("nonsense\r\n\r\n"))
	resp, _ := c.readResponse(http.MethodGet)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Equal(t, s.counted(), `{"400": 1}`)
	assert.Check(t, strings.Contains(s.lines(), "calls=1 after=r1\n"), s.lines())
}

func TestResponsesToValidRequestsAreNotCounted(t *testing.T) {
	s := newMonitoredServer(t, (*httptest.Server).Start)
	addr := s.Listener.Addr().String()
	c := newClientConn(t, addr)
	for range 3 {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete} {
			assert.NilError(t, c.send(method+" /lots HTTP/1.1\r\nHost: auction.example\r\n\r\n"))
			resp, _ := c.readResponse(method)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
		for _, chunked := range []bool{false, true} {
			head, body := upload("/lots", strings.Repeat("x", 300<<10), chunked)
			assert.NilError(t, c.send(head+body))
			_, text := c.readResponse(http.MethodPost)
			assert.Equal(t, text, fmt.Sprint(300<<10, "-/lots"))
		}
		assert.NilError(t, c.send("POST /lots HTTP/1.1\r\nHost: auction.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
		resp, err := http.ReadResponse(c.r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusContinue)
		assert.NilError(t, c.send("xx"))
		_, text := c.readResponse(http.MethodPost)
		assert.Equal(t, text, "2-/lots")
	}
	exchange(t, addr, validRequest+validRequest)
	exchange(t, addr, "GET /lots HTTP/1.0\r\n\r\n")
	exchange(t, addr, "")
	assert.Equal(t, s.counted(), "{}")
	assert.Equal(t, s.lines(), "")
}

// With TLS, the status can't be read below the encryption, and handshakes and the alerts that
// close a connection are also written without a handler.
func TestServerResponsesUnderTLS(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		s := newMonitoredServer(t, (*httptest.Server).StartTLS)
		dial := func() *clientConn {
			conn, err := tls.Dial("tcp", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true, MaxVersion: version}) //nolint:gosec // a test's own certificate
			assert.NilError(t, err)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			return &clientConn{t: t, conn: conn, r: bufio.NewReader(conn)}
		}
		for range 3 {
			c := dial()
			for range 2 {
				assert.NilError(t, c.send(validRequest))
				_, text := c.readResponse(http.MethodGet)
				assert.Equal(t, text, "0-/lots")
			}
			assert.NilError(t, c.conn.Close())
		}
		assert.NilError(t, dial().conn.Close())
		time.Sleep(50 * time.Millisecond) // for what the server may write on close
		assert.Equal(t, s.counted(), "{}")
		for range 2 {
			c := dial()
			assert.NilError(t, c.send("nonsense\r\n\r\n"))
			resp, _ := c.readResponse(http.MethodGet)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			assert.NilError(t, c.conn.Close())
		}
		assert.Equal(t, s.counted(), `{"encrypted": 2}`)
		got := exchange(t, s.Listener.Addr().String(), validRequest)
		assert.Check(t, strings.HasPrefix(got, "HTTP/1.0 400 Bad Request"), "%s", got)
		assert.Equal(t, s.counted(), `{"400": 1, "encrypted": 2}`)
	}
}

func TestHTTP2ResponsesAreNotCounted(t *testing.T) {
	s := newMonitoredServer(t, func(s *httptest.Server) {
		s.EnableHTTP2 = true
		s.StartTLS()
	})
	for range 3 {
		resp, err := s.Client().Get(s.URL + "/lots")
		assert.NilError(t, err)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.Proto+" "+string(text), "HTTP/2.0 0-/lots")
	}
	s.Client().CloseIdleConnections()
	assert.Equal(t, s.counted(), "{}")
}

// A caller sends only malformed requests: every response must be counted, but logged at a limited
// rate.
func TestServerResponseLogIsRateLimited(t *testing.T) {
	s := newMonitoredServer(t, (*httptest.Server).Start)
	const sent = 2 * logLineBurst
	for range sent {
		exchange(t, s.Listener.Addr().String(), "nonsense\r\n\r\n")
	}
	assert.Equal(t, s.counted(), fmt.Sprintf(`{"400": %d}`, sent))
	written := strings.Count(s.lines(), "\n")
	assert.Check(t, written >= logLineBurst && written < sent, "%d", written)
	assert.Equal(t, s.metrics.Int("answers_of_http_lines_dropped").Value(), int64(sent-written))
}

// BenchmarkServerResponseMonitor measures a request over loopback on a kept connection, with and
// without the monitor.
func BenchmarkServerResponseMonitor(b *testing.B) {
	run := func(b *testing.B, monitored bool) {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}))
		if monitored {
			log, err := logging.New(io.Discard, "info")
			assert.NilError(b, err)
			monitor := NewServerResponseMonitor(log, metrics.New(), testRequestID)
			s.Listener = monitor.Listener(s.Listener)
			monitor.Attach(s.Config)
		}
		s.Start()
		defer s.Close()
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(b, err)
		defer conn.Close()
		answer := make([]byte, 1<<10)
		for b.Loop() {
			_, _ = io.WriteString(conn, validRequest)
			_, err = conn.Read(answer)
			assert.NilError(b, err)
		}
	}
	b.Run("without", func(b *testing.B) { run(b, false) })
	b.Run("with", func(b *testing.B) { run(b, true) })
}

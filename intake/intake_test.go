package intake_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/intake"
	"github.com/cactusproxy/cactusproxy/metrics"
)

const (
	maxConns     = 3
	writeTimeout = 2 * time.Second
)

// server serves on a listener that takes maxConns connections. Requests for /held end with the test.
type server struct {
	t      *testing.T
	addr   string
	intake *intake.Intake
	held   chan struct{}
}

func serve(t *testing.T) *server {
	return serveWith(t, nil, func(l net.Listener) net.Listener { return l })
}

// serveWith serves with a memory for headers, on a listener that wrap puts between the intake and the server.
func serveWith(t *testing.T, m intake.Memory, wrap func(net.Listener) net.Listener) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{t: t, addr: l.Addr().String(), held: make(chan struct{})}
	s.intake = intake.New(intake.Options{Name: "test", MaxConns: maxConns, Memory: m, WriteTimeout: writeTimeout, Metrics: metrics.New(), Log: zap.NewNop()})
	h := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(s.handle)}
	s.intake.Attach(h)
	go func() { _ = h.Serve(s.intake.Server(wrap(s.intake.Accepted(l)))) }()
	t.Cleanup(func() {
		close(s.held)
		_ = h.Close()
	})
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/held":
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-s.held
	case "/large":
		_, _ = w.Write(make([]byte, 64<<20))
	default:
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// send opens a connection and sends text.
func (s *server) send(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(s.t, err)
	return c
}

// request sends a request for a path and waits for the head of its response.
func (s *server) request(path string) net.Conn {
	s.t.Helper()
	c := s.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
	line, err := bufio.NewReaderSize(c, 16).ReadString(' ')
	assert.NilError(s.t, err)
	assert.Assert(s.t, strings.HasPrefix(line, "HTTP/1.1"))
	return c
}

// assertClosed fails the test unless the server closes a connection on which it sends nothing more.
func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	timeout, ok := err.(net.Error)
	assert.Assert(t, !ok || !timeout.Timeout(), "the connection is open")
}

// Guards against clients that take all connections: those that send nothing or stop within a request make room.
func TestConnectionsThatWaitForTheirClientMakeRoom(t *testing.T) {
	for _, text := range []string{"", "GET / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n12345678"} {
		s := serve(t)
		var first net.Conn
		for range maxConns {
			c := s.send(text)
			if first == nil {
				first = c
			}
			time.Sleep(20 * time.Millisecond) // until the server waits for the rest
		}
		s.request("/")
		assertClosed(t, first)
		assert.Assert(t, s.intake.Open() <= maxConns)
	}
}

// Guards against cutting off requests that are being served, for clients that connect later.
func TestConnectionsWhoseRequestIsServedStay(t *testing.T) {
	s := serve(t)
	var held []net.Conn
	for range maxConns {
		held = append(held, s.request("/held"))
	}
	assertClosed(t, s.send(""))
	for _, c := range held {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := io.Copy(io.Discard, c)
		timeout, ok := err.(net.Error)
		assert.Check(t, ok && timeout.Timeout(), "closed: %v", err)
	}
}

// Guards against clients that keep connections by not reading.
func TestConnectionsWhoseClientDoesNotReadMakeRoom(t *testing.T) {
	s := serve(t)
	unread := s.request("/large")
	for range maxConns - 1 {
		s.request("/held")
	}
	time.Sleep(50 * time.Millisecond) // until the write blocks
	s.request("/held")
	assertClosed(t, unread)
}

// lockingListener accepts connections that are locked while they close, as those of package pipeline are, and passes them
// to accepted.
type lockingListener struct {
	net.Listener
	accepted chan *lockingConn
}

func (l lockingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &lockingConn{Conn: nc, closing: make(chan struct{})}
	l.accepted <- c
	return c, nil
}

type lockingConn struct {
	net.Conn
	mu sync.Mutex
	// closing is closed once the connection is being closed.
	closing chan struct{}
	once    sync.Once
}

// NetConn returns the connection that c wraps.
func (c *lockingConn) NetConn() net.Conn { return c.Conn }

// RunsAhead is asked when a connection has to make room.
func (c *lockingConn) RunsAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return false
}

// Close implements net.Conn.
func (c *lockingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.once.Do(func() {
		close(c.closing)
		time.Sleep(100 * time.Millisecond) // until the next client has connected
	})
	return c.Conn.Close()
}

// Guards against a host that accepts nobody any more: a connection that was closing waited for the intake, and the
// intake, which looked for one to close, for that connection.
func TestClientsAreAcceptedWhileConnectionsClose(t *testing.T) {
	accepted := make(chan *lockingConn, 2*maxConns)
	s := serveWith(t, nil, func(l net.Listener) net.Listener { return lockingListener{l, accepted} })
	for range maxConns {
		s.send("")
	}
	time.Sleep(50 * time.Millisecond) // until the server reads
	first := <-accepted
	go func() { _ = first.Close() }()
	<-first.closing
	s.request("/")
}

// Guards against clients that keep a connection, and the response that is in memory for it, by not reading: such a
// connection ends although no other client needs its place.
func TestConnectionEndsIfItsClientReadsNothing(t *testing.T) {
	s := serveWith(t, nil, func(l net.Listener) net.Listener { return l })
	unread := s.request("/large")
	for end := time.Now().Add(10 * time.Second); s.intake.Open() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connection is open")
	}
	assertClosed(t, unread)
}

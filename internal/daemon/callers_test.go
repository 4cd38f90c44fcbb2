package daemon_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/daemon"
)

// testServer is a server for callers whose handler counts requests in flight and can block.
type testServer struct {
	*daemon.Callers
	inFlight atomic.Int64
	hold     chan struct{}
	ended    chan error
}

func serve(t *testing.T) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return serveOn(t, l)
}

func serveOn(t *testing.T, l net.Listener) *testServer {
	s := &testServer{hold: make(chan struct{}), ended: make(chan error, 1)}
	s.Callers = &daemon.Callers{
		Server:   &http.Server{Handler: http.HandlerFunc(s.call), ReadHeaderTimeout: time.Minute},
		Listener: l,
		InFlight: s.inFlight.Load,
	}
	t.Cleanup(func() { _ = s.Server.Close() })
	go func() { s.ended <- s.Serve() }()
	return s
}

// call handles a request. It returns at once, or for /held once hold is closed.
func (s *testServer) call(_ http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.URL.Path == "/held" {
		<-s.hold
	}
}

// dial opens a connection and waits until the server has accepted it: a listener accepts
// connections in order, and dial gets a response on a later one.
func (s *testServer) dial(t *testing.T) net.Conn {
	nc, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + s.Listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return nc
}

// startClose closes the server in the background, waits until it no longer listens, and
// returns a channel with the result of Close.
func (s *testServer) startClose(t *testing.T) <-chan error {
	closed := make(chan error, 1)
	go func() { closed <- s.Close(t.Context()) }()
	assert.NilError(t, <-s.ended) // no longer listening
	return closed
}

// Guards against closing a connection without a response although it was open before the
// stop. A request, or the rest of one, arrives just after the listener was closed; net/http
// reads and drops it if Shutdown has already begun.
func TestCloseAnswersWhatIsArriving(t *testing.T) {
	for _, before := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		s := serve(t)
		nc := s.dial(t)
		_, err := io.WriteString(nc, before)
		assert.NilError(t, err)
		closed := s.startClose(t)
		_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"[len(before):])
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		assert.NilError(t, err, "after %q", before)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.NilError(t, <-closed)
	}
}

// lateListener returns connections whose bytes are read some time after they have arrived, as
// on a machine whose processors are busy.
type lateListener struct {
	net.Listener
	late time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{nc.(*net.TCPConn), l.late}, nil
}

type lateConn struct {
	*net.TCPConn
	late time.Duration
}

// Read implements net.Conn.
func (c lateConn) Read(b []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if err != nil {
		return 0, err
	}
	time.Sleep(c.late)
	return c.TCPConn.Read(b)
}

// Guards against cutting off a request that had arrived: the server came to read it only after it
// had begun to close its idle connections.
func TestCloseAnswersWhatIsReadLate(t *testing.T) {
	for _, earlier := range []int{0, 1} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := serveOn(t, lateListener{l, 120 * time.Millisecond})
		nc := s.dial(t)
		r := bufio.NewReader(nc)
		for i := range earlier + 1 {
			closed := make(<-chan error)
			if i == earlier {
				closed = s.startClose(t)
			}
			_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err, "%d requests before", earlier)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.NilError(t, resp.Body.Close())
			if i == earlier {
				assert.NilError(t, <-closed)
			}
		}
	}
}

// lateWriteListener returns connections whose writes return some time after their bytes have been
// sent, as if the server was preempted then.
type lateWriteListener struct {
	net.Listener
	late time.Duration
}

func (l lateWriteListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateWriteConn{nc.(*net.TCPConn), l.late}, nil
}

type lateWriteConn struct {
	*net.TCPConn
	late time.Duration
}

// Write implements net.Conn.
func (c lateWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	time.Sleep(c.late)
	return n, err
}

// Guards against cutting off a request that follows on an answer that the caller has and that the
// server has not finished with when the stop begins.
func TestCloseAnswersWhatFollowsOnAnAnswerJustSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := serveOn(t, lateWriteListener{l, 120 * time.Millisecond})
	nc := s.dial(t)
	r := bufio.NewReader(nc)
	exchange := func() {
		_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.NilError(t, resp.Body.Close())
	}
	exchange()
	closed := s.startClose(t)
	exchange()
	assert.NilError(t, <-closed)
}

// Guards against a stop that waits for open connections without a request.
func TestCloseDoesNotWaitForAnEmptyConnection(t *testing.T) {
	s := serve(t)
	s.dial(t)
	begun := time.Now()
	assert.NilError(t, <-s.startClose(t))
	// The stop of an idle host may take 0.2 s; the rest is margin for a busy machine.
	assert.Check(t, time.Since(begun) < 300*time.Millisecond, "took %v", time.Since(begun))
}

// Guards against cutting off a long request. It is in flight when the listener closes,
// next to a connection without a request, for which Shutdown would wait but Close does not.
func TestCloseWaitsForACall(t *testing.T) {
	s := serve(t)
	s.dial(t)
	nc := s.dial(t)
	_, err := io.WriteString(nc, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	for s.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	closed := s.startClose(t)
	select {
	case err := <-closed:
		t.Fatalf("did not wait for the request in flight: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	close(s.hold)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, <-closed)
}

// closedListener is a listener on which nobody connects until it is closed.
type closedListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

func (l *closedListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *closedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Guards against a plain server that asks for a TLS certificate, because the other of its two
// listeners has begun to serve first. The servers start together so that some are preempted.
func TestServerWithTwoListenersServesPlainHTTP(t *testing.T) {
	const servers = 300
	ended := make(chan error, servers)
	for range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		c := &daemon.Callers{
			Server:   &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute},
			Listener: l,
			Ahead:    &closedListener{Listener: l, closed: make(chan struct{})},
		}
		t.Cleanup(func() { _ = c.Server.Close() })
		go func() { ended <- c.Serve() }()
	}
	select {
	case err := <-ended:
		t.Fatalf("a server ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
}

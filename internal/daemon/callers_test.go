package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/daemon"
)

// served is a server of callers whose handler counts its calls and may be held.
type served struct {
	daemon.Callers
	inFlight atomic.Int64
	hold     chan struct{}
	ended    chan error
}

func serve(t *testing.T) *served {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &served{hold: make(chan struct{}), ended: make(chan error, 1)}
	s.Callers = daemon.Callers{
		Server:   &http.Server{Handler: http.HandlerFunc(s.call), ReadHeaderTimeout: time.Minute},
		Listener: l,
		InFlight: s.inFlight.Load,
	}
	t.Cleanup(func() { _ = s.Server.Close() })
	go func() { s.ended <- s.Serve() }()
	return s
}

// call answers at once, or a request for /held once it is let go.
func (s *served) call(_ http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.URL.Path == "/held" {
		<-s.hold
	}
}

// dial opens a connection that the server has accepted: those of one listener are
// accepted in their order, and a later one is answered.
func (s *served) dial(t *testing.T) net.Conn {
	nc, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + s.Listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return nc
}

// closing closes the callers' server and returns what tells that it has done so.
func (s *served) closing(t *testing.T) <-chan error {
	closed := make(chan error, 1)
	go func() { closed <- s.Close(t.Context()) }()
	assert.NilError(t, <-s.ended) // no longer listening
	return closed
}

// A caller whose connection was open in time finds it closed without an answer.
//
// The request, or the rest of one that has begun, arrives as the host has just stopped
// listening. net/http reads it and drops it if Shutdown has begun.
func TestCloseAnswersWhatIsArriving(t *testing.T) {
	for _, before := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		s := serve(t)
		nc := s.dial(t)
		_, err := io.WriteString(nc, before)
		assert.NilError(t, err)
		closed := s.closing(t)
		_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"[len(before):])
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		assert.NilError(t, err, "after %q", before)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.NilError(t, <-closed)
	}
}

// A caller has a connection open, and sends nothing. The stop does not wait for it.
func TestCloseDoesNotWaitForAnEmptyConnection(t *testing.T) {
	s := serve(t)
	s.dial(t)
	begun := time.Now()
	assert.NilError(t, <-s.closing(t))
	// A stop with nothing to finish may take a fifth of a second; the rest is for a busy machine.
	assert.Check(t, time.Since(begun) < 300*time.Millisecond, "took %v", time.Since(begun))
}

// A caller loses the answer to a long call.
//
// The call is in flight when the host stops listening, beside a connection without any
// request, for which Shutdown would wait and the stop does not.
func TestCloseWaitsForACall(t *testing.T) {
	s := serve(t)
	s.dial(t)
	nc := s.dial(t)
	_, err := io.WriteString(nc, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	for s.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	closed := s.closing(t)
	select {
	case err := <-closed:
		t.Fatalf("did not wait: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	close(s.hold)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, <-closed)
}

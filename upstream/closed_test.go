package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// lateReader is a TCP connection whose reader does not see the end of the stream until it is
// released, as on a host that is short of processor time.
type lateReader struct {
	*net.TCPConn
	release <-chan struct{}
}

func (c *lateReader) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

// newPost returns a request with a body unless that is empty.
func newPost(t *testing.T, body string) *http.Request {
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: http.Header{}}
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return req.WithContext(ctx)
}

// exchange sends a request and reads the response.
func exchange(t *testing.T, p *Pools, tg blackboard.Target, body string) Result {
	res := p.RoundTrip(newPost(t, body), tg, SendOptions{})
	if res.Err == nil {
		_, _ = io.Copy(io.Discard, res.Response.Body)
		_ = res.Response.Body.Close()
	}
	return res
}

// awaitUnread waits until the system knows the end of a connection.
func awaitUnread(t *testing.T, c *net.TCPConn) {
	for begin := time.Now(); !hasUnread(socketOf(c)); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 10*time.Second)
	}
}

// Guards against a request that is written to a target that has crashed, and counts as sent, because
// the close of its kept-alive connection is read late.
func TestCloseThatIsReadLateLeavesNothingSent(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "ok")
		}))
		release := make(chan struct{})
		var opened *net.TCPConn
		p := New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := Dialer(time.Second)(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			opened = c.(*net.TCPConn)
			return &lateReader{opened, release}, nil
		}})
		tg := blackboard.Target{ID: "t", Addr: server.Listener.Addr().String()}
		assert.NilError(t, exchange(t, p, tg, body).Err)
		server.CloseClientConnections()
		server.Close()
		awaitUnread(t, opened)
		time.AfterFunc(time.Second, func() { close(release) })
		res := exchange(t, p, tg, body)
		assert.Check(t, !res.Sent)
		assert.Check(t, errors.Is(res.Err, syscall.ECONNREFUSED), "%v", res.Err)
		<-release
		p.Close()
	}
}

// Guards against a request that counts as sent although TCP refused its first byte (broken pipe).
func TestWriteThatTCPRefusesIsNotSent(t *testing.T) {
	var opened []*net.TCPConn
	p := New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := Dialer(time.Second)(ctx, "tcp", addr)
		if err == nil {
			opened = append(opened, c.(*net.TCPConn))
		}
		return c, err
	}})
	defer p.Close()
	tg := blackboard.Target{ID: "t", Addr: listenOpen(t)}
	assert.NilError(t, exchange(t, p, tg, "a body").Err)
	assert.NilError(t, opened[0].CloseWrite()) // the other end does not close: nothing to read
	res := exchange(t, p, tg, "a body")
	assert.Check(t, !res.Sent)
	assert.Check(t, errors.Is(res.Err, syscall.EPIPE), "%v", res.Err)
	assert.NilError(t, exchange(t, p, tg, "").Err)
	assert.NilError(t, opened[1].CloseWrite())
	assert.NilError(t, exchange(t, p, tg, "").Err, "without a body it goes on another connection")
	assert.Equal(t, len(opened), 3)
}

// listenOpen returns the address of a server that responds to each read and never closes a connection.
func listenOpen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				buf := make([]byte, 4<<10)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (here, there *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	s, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// brokenConn refuses each write.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Guards against calling a request unsent of which a byte may have left this host.
func TestOnlyWritesOfWhichTCPTookNoByteAreUnsent(t *testing.T) {
	here, there := tcpPair(t)
	c := newCountingConn(here)
	go func() {
		_, _ = there.Read(make([]byte, 1))
		_ = there.Close()
	}()
	n, err := c.Write(make([]byte, 64<<20)) // more than the system buffers
	assert.Check(t, n > 0 && err != nil)
	assert.Equal(t, c.writes.Load(), uint64(1))
	n, err = c.Write([]byte("x"))
	assert.Check(t, n == 0 && err != nil)
	assert.Equal(t, c.writes.Load(), uint64(1))
	for name, other := range map[string]net.Conn{
		"a stream between hosts":     &fakeRelayed{Conn: brokenConn{}},
		"a connection of other kind": brokenConn{},
		"one that only wraps TCP":    &lateReader{TCPConn: here},
	} {
		c := newCountingConn(other)
		_, err := c.Write([]byte("x"))
		assert.Check(t, err != nil)
		assert.Equal(t, c.writes.Load(), uint64(1), name)
	}
}

// Guards against a connection that carries a request although its other end has closed it, or has sent
// what would be taken for the response.
func TestConnectionWithSomethingToReadIsNotReused(t *testing.T) {
	here, there := tcpPair(t)
	assert.Check(t, !hasUnread(socketOf(here)))
	_, err := there.Write([]byte("x"))
	assert.NilError(t, err)
	awaitUnread(t, here)
	_, err = here.Read(make([]byte, 8))
	assert.NilError(t, err)
	assert.Check(t, !hasUnread(socketOf(here)))
	assert.NilError(t, there.Close())
	awaitUnread(t, here)
	here, _ = tcpPair(t)
	socket := socketOf(here)
	assert.NilError(t, here.Close())
	assert.Check(t, hasUnread(socket), "closed by this host")
	assert.Check(t, !hasUnread(nil), "through another host")
}

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerAndEnd accepts connections, answers each upload before it has read it, without a length, and ends the connection.
func answerAndEnd(l net.Listener, end func(*net.TCPConn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond) // until the writer of the upload waits
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhello")
			time.Sleep(20 * time.Millisecond) // until it has arrived
			end(conn.(*net.TCPConn))
		}()
	}
}

// Guards against a response without a length that looks whole although its connection was reset, since the write of the
// upload got the reset and the read a clean end. One that ends cleanly is whole, also if the connection is reset later.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reset": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"ends":  func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond) },
		"ends, reset at once": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go answerAndEnd(l, end)
		p := New(Options{})
		for range 20 {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://target/", strings.NewReader(strings.Repeat("x", 8<<20)))
			assert.NilError(t, err)
			res := p.RoundTrip(req, targetAt(l.Addr().String()), SendOptions{})
			assert.NilError(t, res.Err)
			body, err := io.ReadAll(res.Response.Body)
			_ = res.Response.Body.Close()
			assert.Equal(t, string(body), "hello")
			assert.Check(t, (err != nil) == (name == "reset"), "%s: %v", name, err)
		}
		p.Close()
		assert.NilError(t, l.Close())
	}
}

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// loseIncoming makes the kernel drop all packets that arrive on a connection, or no longer.
func loseIncoming(t *testing.T, conn net.Conn, lose bool) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	assert.NilError(t, raw.Control(func(fd uintptr) {
		if lose {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
			return
		}
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
	assert.NilError(t, err)
}

// Guards against giving up a request at which its target is at work because one keep-alive probe,
// or its reply, is lost.
func TestLostProbeDoesNotEndARequestAtWork(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(keepAliveIdle + 2*keepAliveInterval)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	opened := make(chan net.Conn, 1)
	dial := Dialer(time.Second)
	pools := New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, "tcp", addr)
		if err == nil {
			opened <- conn
		}
		return conn, err
	}})
	t.Cleanup(pools.Close)
	done := make(chan Result, 1)
	go func() {
		u := &url.URL{Path: "/"}
		req := &http.Request{Method: http.MethodPost, URL: u, Header: http.Header{}, Body: http.NoBody}
		done <- pools.RoundTrip(req.WithContext(context.Background()), blackboard.Target{ID: "t", Addr: server.Listener.Addr().String()}, SendOptions{})
	}()
	conn := <-opened
	time.Sleep(keepAliveIdle - 200*time.Millisecond)
	loseIncoming(t, conn, true)
	time.Sleep(keepAliveInterval) // the reply to the first probe is lost, that to the next is not
	loseIncoming(t, conn, false)
	res := <-done
	assert.NilError(t, res.Err)
	body, err := io.ReadAll(res.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
}

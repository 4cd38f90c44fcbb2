package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against running out of descriptors by connections to many targets: idle ones make room, those in use stay.
func TestConnectionsToAllTargetsAreLimited(t *testing.T) {
	const limit = 2
	p := New(Options{MaxConns: limit})
	defer p.Close()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	get := func(i int) Result {
		id := fmt.Sprint("t", i)
		return p.RoundTrip(request(t, context.Background(), http.MethodGet), blackboard.Target{ID: ports.HostID(id), Addr: server.Listener.Addr().String()}, SendOptions{})
	}
	for i := range 5 * limit {
		assert.Equal(t, readAll(t, get(i)), "ok")
		assert.Assert(t, p.open.Load() <= limit+1) // one that makes room closes in the background
	}
	var inUse []Result
	for i := range limit {
		r := get(i)
		assert.NilError(t, r.Err)
		inUse = append(inUse, r)
	}
	r := get(limit)
	assert.Assert(t, errors.Is(r.Err, ErrConnLimit))
	assert.Assert(t, !r.Sent)
	for _, r := range inUse {
		assert.Equal(t, readAll(t, r), "ok")
	}
	assert.Equal(t, readAll(t, get(limit)), "ok")
}

// Guards against callers that don't read their responses and take all of this host's connections to a target: a connection
// no longer counts once its request has ended, though nobody has closed the response.
func TestConnectionOfAnEndedRequestDoesNotCount(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 32<<20))
	}))
	defer large.Close()
	ctx, cancel := context.WithCancel(context.Background())
	unread := p.RoundTrip(request(t, ctx, http.MethodGet), targetAt(large.Listener.Addr().String()), SendOptions{MaxConns: 1})
	assert.NilError(t, unread.Err)
	again := func() Result {
		return p.RoundTrip(request(t, context.Background(), http.MethodGet), targetAt(large.Listener.Addr().String()), SendOptions{MaxConns: 1})
	}
	assert.Assert(t, errors.Is(again().Err, ErrConnLimit))
	cancel()
	var next Result
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if next = again(); next.Err == nil {
			break
		}
		assert.Assert(t, time.Now().Before(end), "%v", next.Err)
	}
	assert.NilError(t, next.Response.Body.Close())
	_, err := io.ReadAll(unread.Response.Body)
	assert.Assert(t, err != nil)
	_ = unread.Response.Body.Close()
	assert.Equal(t, p.pool(targetAt(large.Listener.Addr().String())).open, 0)
}

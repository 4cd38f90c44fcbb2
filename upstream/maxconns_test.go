package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

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

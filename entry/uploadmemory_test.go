package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host that runs out of memory by many uploads that stop short of their end: those for which there is no
// memory are refused, and don't reach a target, until another one ends.
func TestUploadsWithoutMemoryAreRefused(t *testing.T) {
	var arrived atomic.Int32
	reached := make(chan struct{}, 10)
	addr := startEntryWith(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		reached <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
	}), func(d *Deps) { d.BodyMemory, d.UploadMemory = 0, uploadMemory })
	for _, chunked := range []bool{false, true} {
		head, body := upload("/lots/7", strings.Repeat("x", 300<<10), chunked)
		first, second, third := newClientConn(t, addr), newClientConn(t, addr), newClientConn(t, addr)
		assert.NilError(t, first.send(head+body[:300]))
		<-reached
		before := arrived.Load()
		assert.NilError(t, second.send(head+body[:300]))
		resp, text := second.readResponse(http.MethodPost)
		assert.Equal(t, text, "not-run upload-memory\n")
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Check(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, arrived.Load(), before)
		assert.NilError(t, first.send(body[300:]))
		resp, _ = first.readResponse(http.MethodPost)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.NilError(t, third.send(head+body))
		resp, _ = third.readResponse(http.MethodPost)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		<-reached
	}
}

package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// maxBufferedResponse is the largest response, in bytes, that is buffered before it is forwarded.
// A larger one is streamed.
const maxBufferedResponse = 256 << 10

// responseBuffers bounds the memory of all buffered responses of this host.
//
// Without the bound, callers that read large responses slowly would fill the host's memory.
// Responses beyond it are streamed, so the caller's connection is broken if they are truncated.
type responseBuffers struct{ memory *semaphore.Weighted }

// newResponseBuffers returns a limit in bytes; 0 returns nil, which disables buffering.
func newResponseBuffers(limit int64) *responseBuffers {
	if limit <= 0 {
		return nil
	}
	return &responseBuffers{memory: semaphore.NewWeighted(limit)}
}

// buffer reads a small response completely. A larger one stays a stream after the part that was
// read, and a response for which there is no memory stays a stream altogether. The memory is
// released when the body is closed.
func (h *responseBuffers) buffer(resp *http.Response) error {
	size := resp.ContentLength
	if size < 0 {
		size = maxBufferedResponse
	}
	if size > maxBufferedResponse || !h.memory.TryAcquire(size) {
		return nil
	}
	var b bytes.Buffer
	b.Grow(int(max(resp.ContentLength, 0)))
	n, err := io.CopyN(&b, resp.Body, maxBufferedResponse+1)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		h.memory.Release(size)
		return err
	case n > maxBufferedResponse:
		resp.Body = &bufferedBody{Reader: io.MultiReader(&b, resp.Body), src: resp.Body, release: func() { h.memory.Release(size) }}
		return nil
	}
	err = resp.Body.Close()
	if size > n {
		h.memory.Release(size - n)
	}
	if err != nil {
		h.memory.Release(min(size, n))
		return err
	}
	resp.ContentLength = n
	resp.Body = &bufferedBody{Reader: &b, release: func() { h.memory.Release(min(size, n)) }}
	return nil
}

// bufferedBody is a response body that is partly or completely in memory.
type bufferedBody struct {
	io.Reader
	// src is the source of the part that isn't in memory; nil if there is none.
	src     io.Closer
	release func()
	once    sync.Once
}

// complete reports whether the whole body is in memory.
func (b *bufferedBody) complete() bool { return b.src == nil }

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.once.Do(b.release)
	if b.src == nil {
		return nil
	}
	return b.src.Close()
}

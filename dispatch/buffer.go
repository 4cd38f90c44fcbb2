package dispatch

import (
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
	reserved := resp.ContentLength
	if reserved < 0 {
		reserved = maxBufferedResponse
	}
	if reserved > maxBufferedResponse || !h.memory.TryAcquire(reserved) {
		return nil
	}
	b, err := readBuffer(resp.Body, resp.ContentLength)
	if err != nil {
		h.memory.Release(reserved)
		return err
	}
	if b.more {
		resp.Body = &bufferedBody{Reader: io.MultiReader(b, resp.Body), src: resp.Body, release: func() { h.memory.Release(reserved) }}
		return nil
	}
	if err := resp.Body.Close(); err != nil {
		h.memory.Release(reserved)
		return err
	}
	held := min(reserved, b.capacity)
	h.memory.Release(reserved - held)
	resp.ContentLength = b.size
	resp.Body = &bufferedBody{Reader: b, release: func() { h.memory.Release(held) }}
	return nil
}

// firstPart and nextPart are the sizes in bytes of the parts in which a response of unknown length is buffered.
const (
	firstPart = 4 << 10
	nextPart  = 28 << 10
)

// responseBuffer is the beginning of a response, in parts. A single buffer would take twice the memory that is accounted
// for whenever it grows, also to find out that a response of known length has ended.
type responseBuffer struct {
	parts [][]byte
	// size is the number of bytes, capacity the memory that they take.
	size, capacity int64
	// more is set if the response goes on.
	more bool
}

// readBuffer reads a response of the given length, which is -1 if unknown, as far as it is buffered.
func readBuffer(r io.Reader, length int64) (*responseBuffer, error) {
	b := new(responseBuffer)
	next := length
	if length < 0 {
		next = firstPart
	}
	for length < 0 && b.capacity < maxBufferedResponse || len(b.parts) == 0 {
		ended, err := b.readPart(r, min(next, maxBufferedResponse-b.capacity))
		if ended || err != nil {
			return b, err
		}
		next = nextPart
	}
	before := b.size
	_, err := b.readPart(r, 1)
	b.more = b.size > before
	return b, err
}

// readPart reads another part, and reports whether the response ended in it.
func (b *responseBuffer) readPart(r io.Reader, size int64) (ended bool, err error) {
	part := make([]byte, size)
	n := 0
	for n < len(part) && err == nil {
		var read int
		read, err = r.Read(part[n:])
		n += read
	}
	b.parts = append(b.parts, part[:n])
	b.size += int64(n)
	b.capacity += size
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// Read implements io.Reader.
func (b *responseBuffer) Read(p []byte) (int, error) {
	for len(b.parts) > 0 && len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	return n, nil
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

package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// Body is a request's body: either whole in memory, and then it can be sent any
// number of times, or a stream, and then it can be sent until its first byte
// was read.
type Body struct {
	mem    []byte
	stream io.ReadCloser
	length int64
	read   atomic.Bool
	broken atomic.Bool
}

// MemoryBody returns a body held in memory.
func MemoryBody(b []byte) *Body { return &Body{mem: b, length: int64(len(b))} }

// StreamBody returns a body that is read from r as it is sent; length is -1 if
// unknown.
func StreamBody(r io.ReadCloser, length int64) *Body {
	return &Body{stream: r, length: length}
}

// Bytes returns the body if it is in memory.
func (b *Body) Bytes() ([]byte, bool) { return b.mem, b.stream == nil }

// Length returns the length in bytes, or -1 if it is not known.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether another attempt can send the body.
func (b *Body) Replayable() bool { return b.stream == nil || !b.read.Load() }

// Broken reports whether the caller stopped sending before the body's end.
func (b *Body) Broken() bool { return b.broken.Load() }

// reader returns the body for one attempt.
func (b *Body) reader() io.ReadCloser {
	if b.stream != nil {
		return &streamReader{body: b}
	}
	if len(b.mem) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.mem))
}

// streamReader marks the body as read. Its Close leaves the stream open, since
// another attempt may read it if this one did not.
type streamReader struct{ body *Body }

func (r *streamReader) Read(p []byte) (int, error) {
	r.body.read.Store(true)
	n, err := r.body.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.body.broken.Store(true)
	}
	return n, err
}

func (r *streamReader) Close() error { return nil }

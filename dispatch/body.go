package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cactusproxy/cactusproxy/quarantine"
)

// Body is a request body. A body in memory can be sent any number of times; a stream can be sent
// only as long as none of it has been read.
type Body struct {
	// mem is the whole body or, of a stream, its first part.
	mem    []byte
	stream io.ReadCloser
	length int64
	// content is what is sent of a stream.
	content *quarantine.Content
	read    atomic.Bool
	aborted atomic.Bool
}

// MemoryBody returns a Body held in memory.
func MemoryBody(b []byte) *Body { return &Body{mem: b, length: int64(len(b))} }

// StreamBody returns a Body that is read from r while it is sent; length is -1 if unknown. Head is its first
// part, as far as it is known before.
func StreamBody(r io.ReadCloser, length int64, head []byte) *Body {
	return &Body{mem: head, stream: r, length: length, content: quarantine.NewContent()}
}

// Bytes returns the body if it is held in memory, and false for a stream.
func (b *Body) Bytes() ([]byte, bool) {
	if b.stream != nil {
		return nil, false
	}
	return b.mem, true
}

// Head returns what is known of the body before it is sent: all of a body in memory, and the first part
// of a stream.
func (b *Body) Head() []byte { return b.mem }

// Length returns the length in bytes, or -1 if unknown.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether another attempt can send the complete body.
func (b *Body) Replayable() bool { return b.stream == nil || !b.read.Load() }

// Aborted reports whether reading the body from the caller failed before its end.
func (b *Body) Aborted() bool { return b.aborted.Load() }

// Reader returns a reader of the body for one attempt.
func (b *Body) Reader() io.ReadCloser {
	if b.stream != nil {
		return &streamReader{body: b}
	}
	if len(b.mem) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.mem))
}

// streamReader marks the body as read. Close leaves the stream open, because another attempt
// may still send the body if this one read none of it.
type streamReader struct{ body *Body }

func (r *streamReader) Read(p []byte) (int, error) {
	r.body.read.Store(true)
	n, err := r.body.stream.Read(p)
	_, _ = r.body.content.Write(p[:n])
	switch {
	case errors.Is(err, io.EOF):
		r.body.content.End()
	case err != nil:
		r.body.aborted.Store(true)
	}
	return n, err
}

func (r *streamReader) Close() error { return nil }

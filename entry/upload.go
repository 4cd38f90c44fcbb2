package entry

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTimeout and drainBytes limit how much of an upload is read after its response, so that
	// the caller receives the response and not a connection reset. net/http reads 256 KiB in such
	// a case, which takes 0.2 s on a link of 10 Mbit/s.
	drainTimeout = 500 * time.Millisecond
	drainBytes   = 256 << 10
)

// errResponded ends the forwarding of an upload whose target has already responded.
var errResponded = errors.New("response completed before the end of the upload")

// uploadWriter wraps an HTTP/1 request that has a body, and its ResponseWriter.
//
// In full-duplex mode, net/http reuses the connection even if a part of the body is unread, and
// parses that part as the next request. So a response that begins before the end of the upload
// is sent with Connection: close, and no read may be in progress when the handler returns.
//
// net/http then closes the connection immediately, which resets it and loses the response. To
// avoid that, a part of the remaining body is read first, for as long as net/http does in other
// cases.
type uploadWriter struct {
	http.ResponseWriter
	request *http.Request
	body    *uploadBody
	// duplex is set if the response may begin before the end of the upload.
	duplex bool
}

func newUploadWriter(w http.ResponseWriter, r *http.Request, limiter *bodyRateLimiter) *uploadWriter {
	body := &uploadBody{src: r.Body, ctx: r.Context(), limiter: limiter}
	request := *r // a copy, because net/http inspects the body of the original
	request.Body = body
	return &uploadWriter{ResponseWriter: w, request: &request, body: body}
}

// Unwrap supports http.ResponseController.
func (u *uploadWriter) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// EnableFullDuplex supports http.ResponseController.
func (u *uploadWriter) EnableFullDuplex() error {
	u.duplex = true
	return http.NewResponseController(u.ResponseWriter).EnableFullDuplex()
}

// WriteHeader implements http.ResponseWriter.
func (u *uploadWriter) WriteHeader(status int) {
	if u.leavesBodyUnread() {
		u.Header().Set("Connection", "close")
	}
	u.ResponseWriter.WriteHeader(status)
}

// leavesBodyUnread reports whether net/http would leave a part of the upload unread: in
// full-duplex mode, or if the caller sent Connection: close, in which case it closes
// immediately.
func (u *uploadWriter) leavesBodyUnread() bool {
	return (u.duplex || u.request.Close) && !u.body.eof.Load()
}

// drain waits until nothing reads the upload any more and reads a part of what remains. It is only
// called after a complete response: a truncated one must break the connection immediately.
func (u *uploadWriter) drain() {
	control := http.NewResponseController(u.ResponseWriter)
	if !u.leavesBodyUnread() {
		if !u.body.complete(u.request.ContentLength) {
			// net/http reads the rest before it sends the response, and its client may have stopped.
			_ = control.SetReadDeadline(time.Now().Add(drainTimeout)) // if this fails, so do the reads
		}
		return
	}
	u.body.responded.Store(true)
	_ = control.Flush() // if this fails, the caller is gone and the reads below fail too
	_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
	if u.bodyExpected() {
		_, _ = io.CopyN(io.Discard, u.body.remaining(), u.drainLimit())
	}
}

// drainLimit returns how many bytes of the remaining body are read. Beyond that, net/http closes
// the connection gracefully, except if the caller sent Connection: close.
func (u *uploadWriter) drainLimit() int64 {
	if u.request.Close {
		return math.MaxInt64
	}
	return drainBytes
}

// bodyExpected reports whether the caller sends its upload. A caller that waits for 100 Continue
// and receives a final response instead doesn't send it.
func (u *uploadWriter) bodyExpected() bool {
	return u.body.started.Load() || u.request.Header.Get("Expect") == ""
}

// uploadBody tracks how much of a request body has been read, and limits the rate.
type uploadBody struct {
	mu  sync.Mutex // held during reads
	src io.ReadCloser
	// ctx is the context of the request.
	ctx     context.Context
	limiter *bodyRateLimiter
	// started is set once a part of the body has been read, eof once all of it has.
	started, eof atomic.Bool
	// size is how many bytes of the body have been read.
	size atomic.Int64
	// responded is set once no more of the body may be forwarded.
	responded atomic.Bool
}

// Read implements io.Reader.
func (b *uploadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responded.Load() {
		return 0, errResponded
	}
	b.started.Store(true)
	n, err := b.src.Read(p)
	b.size.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.eof.Store(true)
	}
	if waitErr := b.limiter.wait(b.ctx, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

// complete reports whether all of a body of the given length, which is -1 if unknown, has been read.
func (b *uploadBody) complete(length int64) bool {
	return b.eof.Load() || length >= 0 && b.size.Load() >= length
}

// remaining waits for a read in progress and returns the rest of the body. The caller must be its
// only reader from then on.
func (b *uploadBody) remaining() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.src
}

// Close implements io.Closer.
func (b *uploadBody) Close() error { return b.src.Close() }

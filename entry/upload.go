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
	// restTime and restBytes bound what is read of an upload after its answer, so that the
	// caller finds the answer and not a reset connection. 256 kB are what net/http reads
	// in such a case, and take 0.2 s on a link of 10 Mbit/s.
	restTime  = 500 * time.Millisecond
	restBytes = 256 << 10
)

// errAnswered ends the sending of an upload to a target that has answered it.
var errAnswered = errors.New("upload was answered before its end")

// uploadWriter is a request over HTTP/1 with a body, and the writer of its answer.
//
// In full duplex, net/http uses the connection again although the rest of the body is unread, and
// reads that as the next request. An answer that begins before the upload has ended says
// Connection: close, and no read is under way when the handler returns.
//
// After that, net/http closes at once, which resets the connection and loses the answer. Some of
// the rest is read first, for as long as net/http waits in other cases.
type uploadWriter struct {
	http.ResponseWriter
	request *http.Request
	body    *uploadBody
	// duplex is set if the answer may begin before the upload has ended.
	duplex bool
}

func newUploadWriter(w http.ResponseWriter, r *http.Request, pace *bodyPace) *uploadWriter {
	body := &uploadBody{src: r.Body, ctx: r.Context(), pace: pace}
	request := *r // net/http looks at the body of its own one
	request.Body = body
	return &uploadWriter{ResponseWriter: w, request: &request, body: body}
}

// Unwrap is for http.ResponseController.
func (u *uploadWriter) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// EnableFullDuplex is for http.ResponseController.
func (u *uploadWriter) EnableFullDuplex() error {
	u.duplex = true
	return http.NewResponseController(u.ResponseWriter).EnableFullDuplex()
}

// WriteHeader implements http.ResponseWriter.
func (u *uploadWriter) WriteHeader(status int) {
	if u.early() {
		u.Header().Set("Connection", "close")
	}
	u.ResponseWriter.WriteHeader(status)
}

// early reports whether net/http leaves a part of the upload unread: in full duplex, and
// where the caller said Connection: close, after which it closes at once.
func (u *uploadWriter) early() bool {
	return (u.duplex || u.request.Close) && !u.body.ended.Load()
}

// end returns once nothing reads the upload any more. It follows a whole answer: one that
// broke off has to break the connection at once.
func (u *uploadWriter) end() {
	if !u.early() {
		return
	}
	u.body.answered.Store(true)
	control := http.NewResponseController(u.ResponseWriter)
	_ = control.Flush() // the caller is gone if this fails, and so does the reading
	_ = control.SetReadDeadline(time.Now().Add(restTime))
	if u.expected() {
		_, _ = io.CopyN(io.Discard, u.body.rest(), u.restBytes())
	}
}

// restBytes returns how much of the rest is read. After more than that net/http ends the
// connection gently, but not if the caller said Connection: close.
func (u *uploadWriter) restBytes() int64 {
	if u.request.Close {
		return math.MaxInt64
	}
	return restBytes
}

// expected reports whether the caller sends its upload. One that waits for 100 Continue and
// got an answer in its place does not.
func (u *uploadWriter) expected() bool {
	return u.body.begun.Load() || u.request.Header.Get("Expect") == ""
}

// uploadBody notes how far a body was read.
type uploadBody struct {
	mu  sync.Mutex // held by the one that reads
	src io.ReadCloser
	// ctx is the request's.
	ctx  context.Context
	pace *bodyPace
	// begun and ended are set once a part or all of it was read.
	begun, ended atomic.Bool
	// answered is set once no more of it is passed on.
	answered atomic.Bool
}

// Read implements io.Reader.
func (b *uploadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answered.Load() {
		return 0, errAnswered
	}
	b.begun.Store(true)
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	if left := b.pace.wait(b.ctx, n); left != nil {
		return n, left
	}
	return n, err
}

// rest waits for the read under way and returns what is left. Nobody else reads any more.
func (b *uploadBody) rest() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.src
}

// Close implements io.Closer.
func (b *uploadBody) Close() error { return b.src.Close() }

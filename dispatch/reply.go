package dispatch

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// ReplyBody is the body of a response. Closing it ends the attempt and releases the target.
type ReplyBody struct {
	src   io.ReadCloser
	class pick.Class // reported if the body was read to its end
	eof   bool
	// failure is why the response was truncated; nil if it was not.
	failure error
	once    sync.Once
	onClose func(pick.Class)
}

// NewReplyBody returns a ReplyBody that reads from src. Close calls onClose, unless it is nil,
// with the way the body ended.
func NewReplyBody(src io.ReadCloser, onClose func(pick.Class)) *ReplyBody {
	if onClose == nil {
		onClose = func(pick.Class) {}
	}
	return &ReplyBody{src: src, class: pick.OK, onClose: onClose}
}

// Read implements io.Reader. Any error other than io.EOF means that the response was truncated;
// the caller's connection must then be broken too.
func (b *ReplyBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.eof = true
	default:
		b.failure = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *ReplyBody) Close() error {
	err := b.src.Close()
	b.once.Do(func() { b.onClose(b.endClass()) })
	return err
}

func (b *ReplyBody) endClass() pick.Class {
	switch {
	case b.eof:
		return b.class
	case b.failure != nil:
		class, _ := brokenClass(upstream.CauseOf(b.failure))
		return class
	default:
		return pick.Canceled
	}
}

// responseReply returns a reply that forwards the response. With Call.ReleaseBuffered, the attempt ends
// at once if the response is completely in memory.
func (a *attempt) responseReply(c *Call) *Reply {
	r := a.streamReply()
	if buffered, ok := a.resp.Body.(*bufferedBody); ok && c.ReleaseBuffered && buffered.complete() {
		a.end(a.class)
		r.Body.onClose = func(pick.Class) {}
	}
	return r
}

// streamReply returns a reply that forwards the response as it arrives.
func (a *attempt) streamReply() *Reply {
	resp := a.resp
	return &Reply{
		Result:  outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonOK},
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Trailer: resp.Trailer,
		Length:  resp.ContentLength,
		Body: &ReplyBody{
			src:     resp.Body,
			class:   a.class,
			onClose: func(c pick.Class) { a.end(c) },
		},
	}
}

// maxBufferedFailure is the largest error response, in bytes, that is kept while another attempt
// is made. A larger one is forwarded without a retry.
const maxBufferedFailure = 64 << 10

// failureBufferable reports whether an error response is small enough to be kept.
func (a *attempt) failureBufferable() bool {
	return a.resp.ContentLength >= 0 && a.resp.ContentLength <= maxBufferedFailure
}

// bufferFailure reads an error response completely and ends the attempt. It returns nil if the
// response was truncated.
func (a *attempt) bufferFailure() *Reply {
	resp := a.resp
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		a.cause = upstream.CauseOf(err)
		a.class, a.reason = brokenClass(a.cause)
		a.resp = nil
		a.end(a.class)
		return nil
	}
	a.end(a.class)
	return memoryReply(resp.StatusCode, resp.Header, b, outcome.ReasonOK)
}

// memoryReply returns a reply whose body is held in memory.
func memoryReply(status int, h map[string][]string, b []byte, r outcome.Reason) *Reply {
	return &Reply{
		Result: outcome.Result{Outcome: outcome.Answered, Reason: r},
		Status: status,
		Header: h,
		Length: int64(len(b)),
		Body:   NewReplyBody(io.NopCloser(bytes.NewReader(b)), nil),
	}
}

package dispatch

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// ReplyBody is the body of an answer. Its end, its breaking off or its being
// closed early ends the attempt and releases the target.
type ReplyBody struct {
	src   io.ReadCloser
	class pick.Class // if read to the end
	ended bool
	broke bool
	once  sync.Once
	done  func(pick.Class)
}

// NewReplyBody returns a body that calls done, if that is not nil, with how it
// ended.
func NewReplyBody(src io.ReadCloser, done func(pick.Class)) *ReplyBody {
	if done == nil {
		done = func(pick.Class) {}
	}
	return &ReplyBody{src: src, class: pick.OK, done: done}
}

// Read implements io.Reader. Any error but io.EOF means that the answer broke
// off and must be broken off towards the caller too.
func (b *ReplyBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
	default:
		b.broke = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *ReplyBody) Close() error {
	err := b.src.Close()
	b.once.Do(func() { b.done(b.outcome()) })
	return err
}

func (b *ReplyBody) outcome() pick.Class {
	switch {
	case b.ended:
		return b.class
	case b.broke:
		return pick.BrokeOff
	default:
		return pick.Canceled
	}
}

// stream returns the reply that passes an attempt's answer on as it comes.
func (a *attempt) stream() *Reply {
	resp := a.resp
	return &Reply{
		Result:  outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonOK},
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Trailer: resp.Trailer,
		Length:  resp.ContentLength,
		Body: &ReplyBody{
			src:   resp.Body,
			class: a.class,
			done:  func(c pick.Class) { a.end(c) },
		},
	}
}

// maxKeptFailure bounds a failed answer that is kept while another attempt is
// made, in bytes. A larger one is passed on without another attempt.
const maxKeptFailure = 64 << 10

// keepable reports whether a failed answer is small enough to be kept.
func (a *attempt) keepable() bool {
	return a.resp.ContentLength >= 0 && a.resp.ContentLength <= maxKeptFailure
}

// keep reads a failed answer whole and ends the attempt. It returns nil if the
// answer broke off.
func (a *attempt) keep() *Reply {
	resp := a.resp
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		a.class, a.reason, a.resp = pick.BrokeOff, outcome.ReasonBrokeOff, nil
		a.end(a.class)
		return nil
	}
	a.end(a.class)
	return memoryReply(resp.StatusCode, resp.Header, b, outcome.ReasonOK)
}

// memoryReply returns an answer that is held in memory.
func memoryReply(status int, h map[string][]string, b []byte, r outcome.Reason) *Reply {
	return &Reply{
		Result: outcome.Result{Outcome: outcome.Answered, Reason: r},
		Status: status,
		Header: h,
		Length: int64(len(b)),
		Body:   NewReplyBody(io.NopCloser(bytes.NewReader(b)), nil),
	}
}

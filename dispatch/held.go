package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// maxHeld bounds an answer that is held until it is whole, in bytes. A longer one
// is passed on as it comes.
const maxHeld = 256 << 10

// heldAnswers bounds the memory of all answers that are held.
//
// Callers that read large answers slowly would fill the host's memory. Answers beyond the bound are
// passed on as they come, and broken off towards the caller if they break off.
type heldAnswers struct{ memory *semaphore.Weighted }

// newHeldAnswers returns a bound in bytes; nil, for 0, holds nothing.
func newHeldAnswers(limit int64) *heldAnswers {
	if limit <= 0 {
		return nil
	}
	return &heldAnswers{memory: semaphore.NewWeighted(limit)}
}

// hold reads a small answer whole. A longer one keeps its rest as a stream, and so does
// each for which there is no memory. The memory is given back when the body is closed.
func (h *heldAnswers) hold(resp *http.Response) error {
	size := resp.ContentLength
	if size < 0 {
		size = maxHeld
	}
	if size > maxHeld || !h.memory.TryAcquire(size) {
		return nil
	}
	var b bytes.Buffer
	b.Grow(int(max(resp.ContentLength, 0)))
	n, err := io.CopyN(&b, resp.Body, maxHeld+1)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		h.memory.Release(size)
		return err
	case n > maxHeld:
		resp.Body = &heldBody{Reader: io.MultiReader(&b, resp.Body), src: resp.Body, give: func() { h.memory.Release(size) }}
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
	resp.Body = &heldBody{Reader: &b, give: func() { h.memory.Release(min(size, n)) }}
	return nil
}

// heldBody is an answer of which a part, or all, is in memory.
type heldBody struct {
	io.Reader
	// src is where the rest comes from, nil if there is none.
	src  io.Closer
	give func()
	once sync.Once
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.once.Do(b.give)
	if b.src == nil {
		return nil
	}
	return b.src.Close()
}

package intake

import (
	"bytes"
	"io"
	"sync/atomic"
)

// What a header costs. net/http turns it into a map while it arrives, which is copied for each attempt.
const (
	// fieldCost is the memory in bytes of a header field, and byteCost that of a byte of the header.
	fieldCost = 256
	byteCost  = 4
	// freeFields and freeBytes are how much of a header is covered by the memory that is reckoned for each connection.
	freeFields = 64
	freeBytes  = 8 << 10
	// costStep is the amount by which memory is acquired.
	costStep = 4 << 10
)

// Memory accounts for bytes that are held for clients. It is implemented by semaphore.Weighted.
type Memory interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// header is the memory of the header of one request. Its methods but release are called by the server's reads alone.
type header struct {
	// lines and size are what has arrived of the header.
	lines, size int
	// held is the memory that was acquired for it.
	held atomic.Int64
}

// received accounts for bytes of a header. It returns false if there is no memory for them.
func (h *header) received(b []byte, m Memory) bool {
	h.size += len(b)
	h.lines += bytes.Count(b, []byte("\n"))
	cost := int64(max(0, h.lines-freeFields))*fieldCost + int64(max(0, h.size-freeBytes))*byteCost
	lacking := cost - h.held.Load()
	if lacking <= 0 {
		return true
	}
	lacking = (lacking + costStep - 1) / costStep * costStep
	if !m.TryAcquire(lacking) {
		return false
	}
	h.held.Add(lacking)
	return true
}

// next prepares for the next request of the connection.
func (h *header) next(m Memory) {
	h.lines, h.size = 0, 0
	h.release(m)
}

// release returns the memory.
func (h *header) release(m Memory) {
	if n := h.held.Swap(0); n > 0 {
		m.Release(n)
	}
}

// errNoMemory ends a connection whose header there is no memory for. net/http takes io.EOF for a client that has gone,
// and closes the connection without a response: nothing of the request was passed on.
var errNoMemory = io.EOF

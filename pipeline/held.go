package pipeline

import "sync"

// Sizes of the buffer for withheld bytes.
const (
	// minHeld is its first size in bytes.
	minHeld = 4 << 10
	// maxHeld is the largest size in bytes. A request that doesn't fit is left to the server.
	maxHeld = 64 << 10
)

// held holds bytes that were read from the caller and that the server hasn't got yet.
type held struct {
	memory Memory
	buf    []byte
	r, w   int
}

// smallBuffers holds buffers of minHeld bytes.
var smallBuffers = sync.Pool{New: func() any { return new([minHeld]byte) }}

// newHeld returns a buffer that has room for n bytes, or nil if there is no memory for it.
func newHeld(m Memory, n int) *held {
	size := minHeld
	for size < n {
		size *= 2
	}
	if !m.TryAcquire(int64(size)) {
		return nil
	}
	if size == minHeld {
		return &held{memory: m, buf: smallBuffers.Get().(*[minHeld]byte)[:]}
	}
	return &held{memory: m, buf: make([]byte, size)}
}

func (h *held) bytes() []byte { return h.buf[h.r:h.w] }

func (h *held) append(b []byte) { h.w += copy(h.buf[h.w:], b) }

func (h *held) discard(n int) { h.r += n }

// space returns where more bytes may be read to. It is empty if the buffer can't grow any more. The
// buffer must not be changed by another goroutine meanwhile; discard is allowed.
func (h *held) space() []byte {
	if h.r == h.w {
		h.r, h.w = 0, 0
	}
	if h.w == len(h.buf) && h.r > 0 {
		h.w = copy(h.buf, h.buf[h.r:h.w])
		h.r = 0
	}
	if h.w == len(h.buf) && len(h.buf) < maxHeld && h.memory.TryAcquire(int64(len(h.buf))) {
		small := h.buf
		h.buf = make([]byte, 2*len(small))
		copy(h.buf, small)
		recycle(small)
	}
	return h.buf[h.w:]
}

func (h *held) release() {
	h.memory.Release(int64(len(h.buf)))
	recycle(h.buf)
}

func recycle(buf []byte) {
	if len(buf) == minHeld {
		smallBuffers.Put((*[minHeld]byte)(buf))
	}
}

package entry

import (
	"io"
	"sync"
	"time"
)

const (
	// headWait is how long a request waits for the head of its body. Afterwards it is sent with
	// what has arrived, since some callers want a response before they send more.
	headWait = 100 * time.Millisecond
	// headBytes is how much of a body that isn't held in memory is read before it is sent.
	headBytes = 32 << 10
	// headSteps is the ratio of two lengths by which the head of a body may be known, see known.
	headSteps = 16
)

// head is the first part of a body that isn't held in memory, by which the quarantine knows the request.
// It is read before the request is sent, and forwarded as it arrives if it is late.
type head struct {
	src io.ReadCloser
	// filled is closed once nothing more is read into buf.
	filled chan struct{}

	mu      sync.Mutex
	arrived *sync.Cond // signaled when buf or err changes
	buf     []byte
	// taken is how much of buf has been forwarded.
	taken int
	err   error
}

// readHead begins to read the head of a body of the given length, which is -1 if unknown, and waits for it
// for up to headWait.
func readHead(src io.ReadCloser, length int64) *head {
	size := int64(headBytes)
	if length >= 0 {
		size = min(size, length)
	}
	h := &head{src: src, filled: make(chan struct{}), buf: make([]byte, 0, size)}
	h.arrived = sync.NewCond(&h.mu)
	go h.fill()
	t := time.NewTimer(headWait)
	defer t.Stop()
	select {
	case <-h.filled:
	case <-t.C:
	}
	return h
}

func (h *head) fill() {
	defer close(h.filled)
	for {
		h.mu.Lock()
		n := len(h.buf)
		done := n == cap(h.buf) || h.err != nil
		h.mu.Unlock()
		if done {
			return
		}
		read, err := h.src.Read(h.buf[n:cap(h.buf)])
		h.mu.Lock()
		h.buf, h.err = h.buf[:n+read], err
		h.arrived.Broadcast()
		h.mu.Unlock()
	}
}

// known returns the part of the head that identifies the body, and the error that ended it, which is
// io.EOF if the whole body is known. Of a head that is late it is a part of one of few lengths, so that
// the same upload is the same request however its parts arrive.
func (h *head) known() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.buf) == cap(h.buf) || h.err != nil {
		return h.buf, h.err
	}
	n := headBytes
	for n > len(h.buf) {
		n /= headSteps
	}
	return h.buf[:n], nil
}

// Read implements io.Reader for the whole body.
func (h *head) Read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.taken == len(h.buf) {
		if h.err != nil {
			return 0, h.err
		}
		if len(h.buf) == cap(h.buf) {
			h.mu.Unlock()
			n, err := h.src.Read(p)
			h.mu.Lock()
			return n, err
		}
		h.arrived.Wait()
	}
	n := copy(p, h.buf[h.taken:])
	h.taken += n
	return n, nil
}

// Close implements io.Closer.
func (h *head) Close() error { return h.src.Close() }

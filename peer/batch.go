package peer

import "sync/atomic"

// frameRange is the position of one frame in the buffer of a batch.
type frameRange struct {
	start, end int
	id         uint64
}

// batch collects encoded frames that are sent in one write.
type batch struct {
	buf    []byte
	frames []frameRange
}

// maxRetainedBuffer is the largest buffer that is kept for the next batch, in bytes.
// Otherwise a large list of targets broadcast to all hosts would be retained once for each
// of them.
const maxRetainedBuffer = 4 << 10

func (b *batch) add(enc *frameEncoder, h header, body []byte, tagLen int) {
	start := len(b.buf)
	b.buf = enc.append(b.buf, h, body, tagLen)
	b.frames = append(b.frames, frameRange{start: start, end: len(b.buf), id: h.id})
}

const (
	// maxQueuedToAll bounds the bytes of messages, and of replies, that a host has yet to send to all
	// peers together: hundreds of slow ones may each be sent the whole state, and the smallest hosts
	// have 184 MB for everything.
	maxQueuedToAll = 16 << 20
	// smallFrame is the size in bytes up to which a frame is always queued, as a heartbeat is.
	smallFrame = 4 << 10
)

// exceedsQueues reports whether a body of this size is too much beside what is queued for all peers.
func exceedsQueues(queued *atomic.Int64, size int) bool {
	return size > smallFrame && queued.Load()+int64(size) > maxQueuedToAll
}

// full reports whether adding a body of this size would exceed the limits of a queue. An
// empty queue always accepts a frame.
func (b *batch) full(size int) bool {
	if len(b.frames) == 0 {
		return false
	}
	return len(b.frames) >= maxQueuedFrames || len(b.buf)+size > maxQueuedBytes
}

// remove deletes the frames for which drop returns true.
func (b *batch) remove(drop func(frameRange) bool) {
	kept := batch{buf: b.buf[:0], frames: b.frames[:0]}
	for _, f := range b.frames {
		if drop(f) {
			continue
		}
		start := len(kept.buf)
		kept.buf = append(kept.buf, b.buf[f.start:f.end]...)
		kept.frames = append(kept.frames, frameRange{start: start, end: len(kept.buf), id: f.id})
	}
	*b = kept
}

func (b *batch) reset() {
	b.frames = b.frames[:0]
	b.buf = b.buf[:0]
	if cap(b.buf) > maxRetainedBuffer {
		b.buf = nil
	}
}

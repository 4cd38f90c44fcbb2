package peer

// span is one frame of a batch.
type span struct {
	start, end int
	id         uint64
}

// batch collects encoded frames until they are written together.
type batch struct {
	buf    []byte
	frames []span
}

// keepBuffer is the largest buffer that is kept for the next batch. A list of targets
// that is told to all hosts would otherwise be held once for each of them.
const keepBuffer = 4 << 10

func (b *batch) add(enc *frameEncoder, h header, body []byte, tagLen int) {
	start := len(b.buf)
	b.buf = enc.append(b.buf, h, body, tagLen)
	b.frames = append(b.frames, span{start: start, end: len(b.buf), id: h.id})
}

// full reports whether one more body of this size is over the bounds of a
// queue. A single frame always fits an empty queue.
func (b *batch) full(size int) bool {
	if len(b.frames) == 0 {
		return false
	}
	return len(b.frames) >= maxQueuedFrames || len(b.buf)+size > maxQueuedBytes
}

// remove deletes the frames for which drop is true.
func (b *batch) remove(drop func(span) bool) {
	kept := batch{buf: b.buf[:0], frames: b.frames[:0]}
	for _, f := range b.frames {
		if drop(f) {
			continue
		}
		start := len(kept.buf)
		kept.buf = append(kept.buf, b.buf[f.start:f.end]...)
		kept.frames = append(kept.frames, span{start: start, end: len(kept.buf), id: f.id})
	}
	*b = kept
}

func (b *batch) reset() {
	b.frames = b.frames[:0]
	b.buf = b.buf[:0]
	if cap(b.buf) > keepBuffer {
		b.buf = nil
	}
}

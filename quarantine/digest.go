package quarantine

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies a request for suspicion. Of a body that is not kept in
// memory, body is the part that was read before the request is sent, and length
// the whole length, or -1 if it is not known. It is never 0.
func Digest(workspace, service, method, path string, body []byte, length int64) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{workspace, service, method, path} {
		writeLength(&h, int64(len(s)))
		_, _ = h.WriteString(s)
	}
	writeLength(&h, length)
	_, _ = h.Write(body)
	return max(1, h.Sum64())
}

// writeLength keeps apart the parts that follow each other.
func writeLength(h *xxhash.Digest, n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}

// answeredSize is the number of requests remembered as answered; a power of 2.
const answeredSize = 1 << 14

// answered remembers, without a lock, requests that were answered in full. A
// request may be pushed out by another one; none is remembered wrongly.
type answered struct {
	slots [answeredSize]atomic.Uint64
}

func (a *answered) add(d uint64) {
	slot := &a.slots[d%answeredSize]
	if slot.Load() != d {
		slot.Store(d)
	}
}

func (a *answered) has(d uint64) bool { return a.slots[d%answeredSize].Load() == d }

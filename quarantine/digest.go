package quarantine

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the hash that identifies equal requests. If the body is not
// buffered in memory, body is the part that was read before the request is sent.
// length is the length of the whole body, or -1 if it is unknown. The digest is
// never 0, which Admit takes for a request that is not tracked.
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

// writeLength writes a length prefix, so that adjacent parts can't run together.
func writeLength(h *xxhash.Digest, n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}

// completedCacheSize is the number of slots in a completedCache; a power of 2.
const completedCacheSize = 1 << 14

// completedCache is a lock-free, direct-mapped cache of the digests of requests that got a
// complete response. A colliding digest evicts an entry; there are no false positives.
type completedCache struct {
	slots [completedCacheSize]atomic.Uint64
}

func (a *completedCache) add(d uint64) {
	slot := &a.slots[d%completedCacheSize]
	if slot.Load() != d {
		slot.Store(d)
	}
}

func (a *completedCache) has(d uint64) bool { return a.slots[d%completedCacheSize].Load() == d }

package quarantine

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/policy/suspicion"
)

// Request is what makes two requests the same one: the same caller asks the same for the same content. Those
// that differ only in Caller are of one group, see suspicion.ID.
//
// The caller belongs to it: targets do different things for different callers, so that a path may
// crash them for one caller only. Without it, the good responses to all others would clear the
// request that crashes targets, or it would close the path for them.
type Request struct {
	Workspace, Service string
	// Route is the name of the route, which tells host names apart; empty where routes have no names.
	Route        string
	Method, Path string
	// Tenant owns the caller's API key; empty if the request needs none.
	Tenant string
	// Certificate is the subject of the caller's client certificate, or empty if it has none.
	Certificate string
	// Caller is the caller's credential as it was sent, or empty if it has none.
	Caller string
	// Body is the content or, if it is not held in memory, its first part.
	Body []byte
	// Length is the length of the whole body, or -1 if it is unknown.
	Length int64
}

// ID returns the hashes that identify equal requests and their group. They are never 0, which Admit takes for
// a request that is not tracked.
func (r *Request) ID() suspicion.ID {
	var h xxhash.Digest
	h.Reset()
	writeStrings(&h, r.Workspace, r.Service, r.Route, r.Method, r.Path, r.Tenant, r.Certificate)
	writeLength(&h, r.Length)
	_, _ = h.Write(r.Body)
	group := max(1, h.Sum64())
	writeLength(&h, int64(len(r.Body)))
	writeStrings(&h, r.Caller)
	return suspicion.ID{Request: max(1, h.Sum64()), Group: group}
}

// writeStrings writes each string with a length prefix, so that adjacent ones can't run together.
func writeStrings(h *xxhash.Digest, list ...string) {
	for _, s := range list {
		writeLength(h, int64(len(s)))
		_, _ = h.WriteString(s)
	}
}

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

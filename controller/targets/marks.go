package targets

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// LeavingMark identifies a target that is leaving.
type LeavingMark struct {
	Workspace string
	Service   string
	ID        ports.HostID
}

// wireMark is a mark as sent between hosts. Age is the time in seconds since a list last
// had the target. Without it, each host that receives an old mark would start its
// expiration anew, and hosts would keep it alive among each other forever.
type wireMark struct {
	Workspace string       `msgpack:"w"`
	Service   string       `msgpack:"s"`
	ID        ports.HostID `msgpack:"id"`
	Age       uint32       `msgpack:"a,omitempty"`
}

func (w wireMark) mark() LeavingMark {
	return LeavingMark{Workspace: w.Workspace, Service: w.Service, ID: w.ID}
}

func (m LeavingMark) key() blackboard.ServiceKey {
	return blackboard.ServiceKey{Workspace: m.Workspace, Service: m.Service}
}

func leavingMarkOf(key blackboard.ServiceKey, id ports.HostID) LeavingMark {
	return LeavingMark{Workspace: key.Workspace, Service: key.Service, ID: id}
}

func (m LeavingMark) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Workspace)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(m.ID))
	return d.Sum64()
}

const (
	// buckets is the number of partitions of the marks in a digest, so that hosts
	// that differ by one mark don't exchange thousands.
	buckets = 16
	// markTTL is how long a mark is kept after the last list that had its target,
	// or while no list has had it yet.
	markTTL = 10 * time.Minute
	// maxMarks bounds the number of marks, since marks may name targets that are in
	// no list.
	maxMarks = 20000
)

// marks is the set of all known marks.
type marks struct {
	// lastListed has the time of the last list that had the target of each mark.
	lastListed map[LeavingMark]time.Time
	// sums has the XOR of the hashes of the marks in each bucket.
	sums [buckets]uint64
}

func newMarks() *marks { return &marks{lastListed: make(map[LeavingMark]time.Time)} }

// add adds a mark and reports whether it is new. listed is the time of the last list that
// had its target.
func (s *marks) add(m LeavingMark, listed time.Time) bool {
	if s.has(m) || len(s.lastListed) >= maxMarks {
		return false
	}
	s.lastListed[m] = listed
	h := m.hash()
	s.sums[h%buckets] ^= h
	return true
}

func (s *marks) has(m LeavingMark) bool {
	_, ok := s.lastListed[m]
	return ok
}

// refresh records that a list has the target of a known mark.
func (s *marks) refresh(m LeavingMark, now time.Time) { s.lastListed[m] = now }

// prune drops the marks of targets that have not been listed for markTTL.
func (s *marks) prune(now time.Time) {
	for m, lastListed := range s.lastListed {
		if now.Sub(lastListed) > markTTL {
			h := m.hash()
			s.sums[h%buckets] ^= h
			delete(s.lastListed, m)
		}
	}
}

// digest returns the bucket sums, which are equal for equal sets, or nil if the set is
// empty.
func (s *marks) digest() []uint64 {
	if len(s.lastListed) == 0 {
		return nil
	}
	sums := s.sums
	return sums[:]
}

// encode returns the wire form of a known mark.
func (s *marks) encode(m LeavingMark, now time.Time) wireMark {
	age := max(0, now.Sub(s.lastListed[m]))
	return wireMark{Workspace: m.Workspace, Service: m.Service, ID: m.ID, Age: uint32(age / time.Second)}
}

// missing returns all marks in the buckets that differ from the digest of a peer.
func (s *marks) missing(digest []uint64, now time.Time) []wireMark {
	if len(digest) != buckets {
		digest = make([]uint64, buckets)
	}
	var out []wireMark
	for m := range s.lastListed {
		b := m.hash() % buckets
		if s.sums[b] != digest[b] {
			out = append(out, s.encode(m, now))
		}
	}
	return out
}

package targets

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Mark says that a target is leaving.
type Mark struct {
	Workspace string
	Service   string
	ID        ports.HostID
}

// wireMark is a mark on its way. Age in seconds is the time since a list last
// had the target. Without it each host that learns of an old mark would count
// from zero, and hosts would bring it back to each other for ever.
type wireMark struct {
	Workspace string       `msgpack:"w"`
	Service   string       `msgpack:"s"`
	ID        ports.HostID `msgpack:"id"`
	Age       uint32       `msgpack:"a,omitempty"`
}

func (w wireMark) mark() Mark { return Mark{Workspace: w.Workspace, Service: w.Service, ID: w.ID} }

func (m Mark) key() blackboard.ServiceKey {
	return blackboard.ServiceKey{Workspace: m.Workspace, Service: m.Service}
}

func markOf(key blackboard.ServiceKey, id ports.HostID) Mark {
	return Mark{Workspace: key.Workspace, Service: key.Service, ID: id}
}

func (m Mark) hash() uint64 {
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
	// buckets divide the marks, so that two hosts that differ by one mark do
	// not exchange thousands.
	buckets = 16
	// keepMark is how long a mark outlives the last list that had its target,
	// or waits for the first one that has it.
	keepMark = 10 * time.Minute
	// maxMarks bounds the marks of targets that are in no list.
	maxMarks = 20000
)

// marks is the set of all marks known, each with the time of the last list that
// had its target.
type marks struct {
	at   map[Mark]time.Time
	sums [buckets]uint64
}

func newMarks() *marks { return &marks{at: make(map[Mark]time.Time)} }

// add reports whether the mark is new. listed is the time of the last list that
// had its target.
func (s *marks) add(m Mark, listed time.Time) bool {
	if s.has(m) || len(s.at) >= maxMarks {
		return false
	}
	s.at[m] = listed
	h := m.hash()
	s.sums[h%buckets] ^= h
	return true
}

func (s *marks) has(m Mark) bool {
	_, ok := s.at[m]
	return ok
}

// seen notes that a list has the target of a known mark.
func (s *marks) seen(m Mark, now time.Time) { s.at[m] = now }

// prune drops marks of targets that have not been listed for long.
func (s *marks) prune(now time.Time) {
	for m, at := range s.at {
		if now.Sub(at) > keepMark {
			h := m.hash()
			s.sums[h%buckets] ^= h
			delete(s.at, m)
		}
	}
}

// digest is equal for equal sets; it is empty for the empty one.
func (s *marks) digest() []uint64 {
	if len(s.at) == 0 {
		return nil
	}
	sums := s.sums
	return sums[:]
}

// wire returns a known mark as it is sent.
func (s *marks) wire(m Mark, now time.Time) wireMark {
	age := max(0, now.Sub(s.at[m]))
	return wireMark{Workspace: m.Workspace, Service: m.Service, ID: m.ID, Age: uint32(age / time.Second)}
}

// missing returns the marks in buckets that differ from a peer's digest.
func (s *marks) missing(digest []uint64, now time.Time) []wireMark {
	if len(digest) != buckets {
		digest = make([]uint64, buckets)
	}
	var out []wireMark
	for m := range s.at {
		b := m.hash() % buckets
		if s.sums[b] != digest[b] {
			out = append(out, s.wire(m, now))
		}
	}
	return out
}

// Package sizes learns how large the answers to one kind of request are, so that where a
// call goes can be weighed against the bytes that it moves between availability zones.
package sizes

import "sync"

const (
	// first is reckoned with before any answer came, in bytes: that of a page of text.
	first = 4 << 10
	// steady is the number of answers that the usual size is a mean of, in the long run:
	// sizes of one kind differ a few times, and 20 answers say what it is like. Before that
	// all count alike: a host that gets 30 downloads of 90 kB a minute reckoned with 25 kB
	// on the whole when each answer moved it by a twentieth from the first on.
	steady = 20
)

// Estimator is the usual size of answers. The zero value knows nothing. It is safe for
// concurrent use.
type Estimator struct {
	mu    sync.Mutex
	seen  int
	bytes float64
}

// Bytes returns the usual size in bytes.
func (u *Estimator) Bytes() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen == 0 {
		return first
	}
	return u.bytes
}

// Observe takes in the size of an answer in bytes; -1 if it is not known.
func (u *Estimator) Observe(n int64) {
	if n < 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = min(u.seen+1, steady)
	u.bytes += (float64(n) - u.bytes) / float64(u.seen)
}

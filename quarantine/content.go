package quarantine

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/policy/suspicion"
)

// firstMark is the length of the shortest part of a body for which a Content keeps the hash. Each next
// one is twice as long.
const firstMark = 64 << 10

// Content hashes a body that isn't held in memory while it is sent. It is safe for concurrent use.
type Content struct {
	mu    sync.Mutex
	hash  xxhash.Digest
	bytes int64
	next  int64
	marks []suspicion.Part
}

// NewContent returns the Content of a body of which nothing has been sent.
func NewContent() *Content {
	c := &Content{next: firstMark}
	c.hash.Reset()
	return c
}

// Write records that p is sent.
func (c *Content) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(p)
	for int64(len(p)) >= c.next-c.bytes {
		part := p[:c.next-c.bytes]
		c.add(part)
		c.mark()
		p = p[len(part):]
		c.next *= 2
	}
	c.add(p)
	return n, nil
}

// End records that the whole body was sent. It may be called again.
func (c *Content) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.marks); n == 0 || c.marks[n-1].Bytes != c.bytes {
		c.mark()
	}
}

func (c *Content) add(p []byte) {
	_, _ = c.hash.Write(p)
	c.bytes += int64(len(p))
}

func (c *Content) mark() {
	c.marks = append(c.marks, suspicion.Part{Bytes: c.bytes, Hash: c.hash.Sum64()})
}

// parts returns the parts of known hash.
func (c *Content) parts() []suspicion.Part {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.marks[:len(c.marks):len(c.marks)]
}

// sent returns the longest part of known hash that was sent.
func (c *Content) sent() suspicion.Part {
	parts := c.parts()
	if len(parts) == 0 {
		return suspicion.Part{}
	}
	return parts[len(parts)-1]
}

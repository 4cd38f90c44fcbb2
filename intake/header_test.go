package intake_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// budget is the memory for the headers of a test, in bytes.
const budget = 1 << 20

// memory accounts for bytes.
type memory struct{ left chan int64 }

func newMemory(n int64) *memory {
	m := &memory{left: make(chan int64, 1)}
	m.left <- n
	return m
}

func (m *memory) TryAcquire(n int64) bool {
	left := <-m.left
	if n > left {
		m.left <- left
		return false
	}
	m.left <- left - n
	return true
}

func (m *memory) Release(n int64) { m.left <- <-m.left + n }

// inUse returns how much was acquired of budget.
func (m *memory) inUse() int64 {
	left := <-m.left
	m.left <- left
	return budget - left
}

// header returns a header with a number of fields.
func header(fields int, path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, strings.Repeat("a:\r\n", fields))
}

func (s *server) awaitUnused(m *memory) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); m.inUse() != 0; time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(end), "%d bytes are not released", m.inUse())
	}
}

// Guards against headers of many short fields that fill a host's memory: each is small, and the map that it becomes isn't.
func TestHeadersAreBoundedByWhatTheyCost(t *testing.T) {
	const fields = 3000 // of 4 bytes, in a header of 12 kB
	m := newMemory(budget)
	s := serveWith(t, m, func(l net.Listener) net.Listener { return l })
	held := s.send(header(fields, "/held"))
	_, err := io.ReadFull(held, make([]byte, 16))
	assert.NilError(t, err)
	assert.Assert(t, m.inUse() > 500_000)
	assertClosed(t, s.send(header(fields, "/")))
	s.request("/") // an ordinary header needs none
}

// Guards against memory that is never released: after a response, after a connection was closed, and after one was cut.
func TestMemoryOfHeadersIsReleased(t *testing.T) {
	m := newMemory(budget)
	s := serveWith(t, m, func(l net.Listener) net.Listener { return l })
	kept := s.send(header(3000, "/"))
	_, err := io.ReadFull(kept, make([]byte, 16))
	assert.NilError(t, err)
	s.awaitUnused(m)
	partial := s.send(header(2000, "/")[:6000])
	assert.NilError(t, partial.Close())
	s.awaitUnused(m)
	assertClosed(t, s.send(header(20_000, "/")))
	s.awaitUnused(m)
	for range maxConns {
		s.send(header(500, "/")[:1500])
	}
	time.Sleep(20 * time.Millisecond) // until the server waits for the rest
	for range maxConns {
		s.request("/held")
	}
	s.awaitUnused(m)
}

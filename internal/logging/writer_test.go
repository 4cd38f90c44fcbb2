package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against logging that blocks requests: the pipe behind standard output is full and
// not read. Lines must be dropped and counted, and Flush must return soon.
func TestStalledReaderBlocksNobody(t *testing.T) {
	s := stalledWriter{make(chan struct{})}
	defer close(s.release)
	w := NewWriter(s)
	start := time.Now()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	w.Flush()
	assert.Check(t, time.Since(start) < 2*time.Second)
	assert.Check(t, w.Dropped() > 0)
}

func TestFlushWritesAllLinesInOrder(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(l))
	}
	w.Flush()
	time.Sleep(2 * batchDelay)
	w.Flush()
	assert.Equal(t, strings.ReplaceAll(b.String(), "\n", ""), "abc")
}

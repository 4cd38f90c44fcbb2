package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalled is a reader of the log that takes nothing until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// The pipe behind standard output is full and nobody reads it. Calls must go on:
// lines are dropped and counted, and a stop waits for a moment only.
func TestStalledReaderBlocksNobody(t *testing.T) {
	s := stalled{make(chan struct{})}
	defer close(s.release)
	w := NewWriter(s)
	start := time.Now()
	for range 3 * queueLines {
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
	time.Sleep(2 * gatherFor)
	w.Flush()
	assert.Equal(t, strings.ReplaceAll(b.String(), "\n", ""), "abc")
}

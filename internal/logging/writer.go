package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait to be written.
	queueLines = 4096
	// gatherFor is how long a line waits for others, so that many are written at
	// once.
	gatherFor = 20 * time.Millisecond
	// flushTimeout bounds the wait for a reader of the log that has stalled.
	flushTimeout = 500 * time.Millisecond
)

// Writer passes lines on in the background. Write never blocks: if the reader of
// the log stalls, lines are dropped and counted, and calls go on.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines so far are written, but not for long.
func (w *Writer) Flush() {
	done := make(chan struct{})
	limit := time.NewTimer(flushTimeout)
	defer limit.Stop()
	select {
	case w.flush <- done:
	case <-limit.C:
		return
	}
	select {
	case <-done:
	case <-limit.C:
	}
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			time.Sleep(gatherFor)
			w.writeAll(line)
		case done := <-w.flush:
			w.writeAll(nil)
			close(done)
		}
	}
}

// writeAll writes a line and all that wait in one call. An error of the log's
// reader can be told nobody.
func (w *Writer) writeAll(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			if len(batch) > 0 {
				_, _ = w.out.Write(batch)
			}
			return
		}
	}
}

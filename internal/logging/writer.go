package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// batchDelay is how long a line waits for others, so that many are written in one
	// call.
	batchDelay = 20 * time.Millisecond
	// flushTimeout bounds how long Flush waits if the reader of the log has stalled.
	flushTimeout = 500 * time.Millisecond
)

// Writer writes log lines in the background. Write never blocks: if the reader of the
// log stalls, lines are dropped and counted, and requests are not delayed.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer to out. Its goroutine runs until the process ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
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

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until all lines so far are written, for at most flushTimeout.
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
			time.Sleep(batchDelay)
			w.writeAll(line)
		case done := <-w.flush:
			w.writeAll(nil)
			close(done)
		}
	}
}

// writeAll writes the batch and all queued lines in one call. Write errors are ignored,
// since there is nowhere to report them.
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

package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// kindPing is the kind of a request that only asks for a reply. An older release answers that it has no
// handler for it, which serves as well.
const kindPing Kind = 1

const (
	// pingAfter is how long nothing may be received after something was sent until a ping is sent.
	// Notifications have no reply, so that silence alone says little.
	pingAfter = 500 * time.Millisecond
	// pingTimeout is how long a ping may stay without any byte in return until another connection
	// is opened.
	pingTimeout = 500 * time.Millisecond
	// silenceCheckInterval is the interval at which a connection is checked for silence.
	silenceCheckInterval = 250 * time.Millisecond
)

var errStalled = errors.New("connection carries no data while a new one does")

// heardReader records when bytes were last received.
type heardReader struct {
	io.Reader
	// at is the time in nanoseconds since the epoch.
	at *atomic.Int64
}

func (h heardReader) Read(b []byte) (int, error) {
	n, err := h.Reader.Read(b)
	if n > 0 {
		h.at.Store(time.Now().UnixNano())
	}
	return n, err
}

// silence finds out whether a connection has stalled: it stays open, what is sent on it is acknowledged,
// and nothing arrives any more. It is used by the goroutine that writes.
//
// A full link delays replies for seconds as well. So a connection is given up only if another one, opened
// after the ping, completes its handshake and the ping still has no reply: on a full link the
// handshake takes longer than the ping.
type silence struct {
	r *remote
	s *session
	// since is when something was first sent after the last byte was received, pinged when a ping
	// was sent since then; zero if nothing was.
	since, pinged time.Time
	// dialing is set while another connection is being opened, which opened receives; nil if that
	// failed.
	dialing bool
	opened  chan *session
}

func newSilence(r *remote, s *session) *silence {
	return &silence{r: r, s: s, opened: make(chan *session, 1)}
}

// sent records that something was sent.
func (w *silence) sent(now time.Time) {
	if w.since.IsZero() || w.heard() {
		w.since, w.pinged = now, time.Time{}
	}
}

// heard reports whether a byte was received since something was first sent.
func (w *silence) heard() bool { return w.s.heard.Load() > w.since.UnixNano() }

// check sends a ping or opens another connection if that is due.
func (w *silence) check(now time.Time) {
	switch {
	case w.since.IsZero():
	case w.heard():
		w.since, w.pinged = time.Time{}, time.Time{}
	case w.pinged.IsZero():
		if now.Sub(w.since) >= pingAfter {
			w.pinged = now
			w.r.ping()
		}
	case !w.dialing && now.Sub(w.pinged) >= pingTimeout:
		w.dialing = true
		go w.dial()
	}
}

// dial opens another connection.
func (w *silence) dial() {
	s, err := w.r.dial()
	if err != nil {
		s = nil
	}
	w.opened <- s
}

// replaced reports whether the connection is to be given up for another one that was opened. The
// remote serves that next.
func (w *silence) replaced(other *session) bool {
	w.dialing = false
	if other == nil {
		return false
	}
	if w.since.IsZero() || w.pinged.IsZero() || w.heard() {
		_ = other.conn.Close()
		return false
	}
	w.r.next = other
	return true
}

// end closes a connection that is being opened for nothing.
func (w *silence) end() {
	if !w.dialing {
		return
	}
	go func() {
		if s := <-w.opened; s != nil {
			_ = s.conn.Close()
		}
	}()
}

// ping sends a request for a reply that nobody waits for.
func (r *remote) ping() {
	_, _ = r.enqueue(frameRequest, kindPing, nil, &call{done: make(chan result, 1)})
}

// handlePing answers a ping.
func handlePing(context.Context, HostID, []byte) ([]byte, error) { return nil, nil }

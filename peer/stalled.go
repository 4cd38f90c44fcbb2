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
	// Notifications have no reply, so that it takes a ping to tell.
	pingAfter = 500 * time.Millisecond
	// pingTimeout is how long a ping may stay without any byte in return until another connection
	// is opened.
	pingTimeout = 500 * time.Millisecond
)

var errStalled = errors.New("connection carries no data while a new one does")

// receiptReader records when bytes were last received.
type receiptReader struct {
	io.Reader
	// at is the time in nanoseconds since the epoch.
	at *atomic.Int64
}

func (r receiptReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.at.Store(time.Now().UnixNano())
	}
	return n, err
}

// stallDetector determines whether a connection has stalled: it stays open, what is sent on it is
// acknowledged, and nothing arrives any more. It is used by the goroutine that writes.
//
// A full link delays replies for seconds as well. So a connection is given up only if another one, opened
// after the ping, completes its handshake and the ping still has no reply: on a full link the
// handshake takes longer than the ping.
type stallDetector struct {
	r *remote
	s *session
	// since is when something was first sent after the last byte was received, pinged when a ping
	// was sent since then; zero if nothing was.
	since, pinged time.Time
	// due fires when check is to be called. It is stopped while nothing is awaited: hosts have a
	// connection to each of many others, and a ticker for each would wake them thousands of times
	// a second.
	due *time.Timer
	// dialing is set while another connection is being opened, which opened receives; nil if that
	// failed.
	dialing bool
	opened  chan *session
}

func newStallDetector(r *remote, s *session) *stallDetector {
	due := time.NewTimer(pingAfter)
	due.Stop()
	return &stallDetector{r: r, s: s, due: due, opened: make(chan *session, 1)}
}

// sent records that something was sent.
func (d *stallDetector) sent(now time.Time) {
	if d.since.IsZero() || d.received() {
		d.since, d.pinged = now, time.Time{}
		d.due.Reset(pingAfter)
	}
}

// received reports whether a byte was received since something was first sent.
func (d *stallDetector) received() bool { return d.s.receivedAt.Load() > d.since.UnixNano() }

// check sends a ping or opens another connection if that is due.
func (d *stallDetector) check(now time.Time) {
	switch {
	case d.since.IsZero():
	case d.received():
		d.since, d.pinged = time.Time{}, time.Time{}
	case d.pinged.IsZero():
		d.pinged = now
		d.due.Reset(pingTimeout)
		d.r.ping()
	case !d.dialing:
		d.dialing = true
		go d.dial()
	}
}

// dial opens another connection.
func (d *stallDetector) dial() {
	s, err := d.r.dial()
	if err != nil {
		s = nil
	}
	d.opened <- s
}

// replaced reports whether the connection is to be given up for another one that was opened. The
// remote serves that next.
func (d *stallDetector) replaced(other *session) bool {
	d.dialing = false
	if other == nil {
		d.due.Reset(pingTimeout)
		return false
	}
	if d.since.IsZero() || d.pinged.IsZero() || d.received() {
		_ = other.conn.Close()
		return false
	}
	d.r.next = other
	return true
}

// end closes a connection that is still being opened and no longer needed.
func (d *stallDetector) end() {
	d.due.Stop()
	if !d.dialing {
		return
	}
	go func() {
		if s := <-d.opened; s != nil {
			_ = s.conn.Close()
		}
	}()
}

// ping sends a request whose reply nobody waits for: any received byte shows that the connection works.
func (r *remote) ping() {
	_, _ = r.enqueue(frameRequest, kindPing, nil, &call{done: make(chan result, 1)})
}

// handlePing answers a ping.
func handlePing(context.Context, HostID, []byte) ([]byte, error) { return nil, nil }

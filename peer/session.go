package peer

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// readBufferSize is the size of a connection's read buffer, in bytes. It holds several
// heartbeats and is small because each host may be connected to every other; larger frames
// bypass the buffer.
const readBufferSize = 1 << 10

// session is a connection after its handshake. One goroutine reads and one writes.
type session struct {
	conn net.Conn
	// receivedAt is when bytes were last received, in nanoseconds since the epoch.
	receivedAt *atomic.Int64
	br         *bufio.Reader
	peer       hello
	send       *frameMAC // nil without a shared key
	recv       *frameMAC
	maxFrame   int
	dec        *frameDecoder
	tag        [tagSize]byte
	count      *counters
	// writeCountExact is set if a failed write reports exactly how many bytes were sent. TLS
	// does not: part of an encrypted record may already have been sent.
	writeCountExact bool
}

// readFrame returns the next frame. The caller owns the body.
func (s *session) readFrame() (header, []byte, error) {
	prefix, payload, err := readPayload(s.br, s.maxFrame)
	if err != nil {
		return header{}, nil, err
	}
	if s.recv != nil {
		if _, err := io.ReadFull(s.br, s.tag[:]); err != nil {
			return header{}, nil, asUnexpectedEOF(err)
		}
		if err := s.recv.verify(prefix[:], payload, s.tag[:]); err != nil {
			return header{}, nil, err
		}
	}
	s.count.framesIn.Add(1)
	s.count.bytesIn.Add(int64(lengthSize + len(payload) + s.tagLen()))
	return s.dec.split(payload)
}

func (s *session) tagLen() int {
	if s.recv == nil {
		return 0
	}
	return tagSize
}

// writeBatch sends all frames of a batch in one write. It returns an upper bound of the
// bytes that were sent.
func (s *session) writeBatch(b *batch) (int, error) {
	return s.writeUntil(b, time.Now().Add(writeTimeout))
}

// writeUntil is writeBatch with a deadline; the zero time means none.
func (s *session) writeUntil(b *batch, deadline time.Time) (int, error) {
	if s.send != nil {
		for _, f := range b.frames {
			s.send.seal(b.buf[f.start:f.end])
		}
	}
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := s.conn.Write(b.buf)
	s.count.framesOut.Add(int64(len(b.frames)))
	s.count.bytesOut.Add(int64(n))
	if err != nil && !s.writeCountExact {
		return len(b.buf), err
	}
	return n, err
}

// writeFrame sends a single frame. It is used only by the handshake.
func (s *session) writeFrame(h header, body []byte) error {
	var b batch
	b.add(newFrameEncoder(), h, body, s.tagLen())
	_, err := s.writeBatch(&b)
	return errors.Wrap(err, "write peer frame")
}

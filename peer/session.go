package peer

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// readBufferSize holds some heartbeats, in bytes. Each host has a connection with every
// other at worst; larger frames are read past the buffer.
const readBufferSize = 1 << 10

// session is one connection after its handshake. One goroutine reads and one
// writes.
type session struct {
	conn     net.Conn
	br       *bufio.Reader
	peer     hello
	send     *frameMAC // nil without a shared key
	recv     *frameMAC
	maxFrame int
	dec      *frameDecoder
	tag      [tagSize]byte
	count    *counters
	// exact is set if a failed write tells how many bytes left. TLS does not:
	// part of an encrypted record may be on its way.
	exact bool
}

// readFrame returns the next frame; the body is the caller's.
func (s *session) readFrame() (header, []byte, error) {
	prefix, payload, err := readPayload(s.br, s.maxFrame)
	if err != nil {
		return header{}, nil, err
	}
	if s.recv != nil {
		if _, err := io.ReadFull(s.br, s.tag[:]); err != nil {
			return header{}, nil, unexpected(err)
		}
		if err := s.recv.check(prefix[:], payload, s.tag[:]); err != nil {
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

// writeBatch sends all frames of a batch in one write. It returns the bytes
// that may have left.
func (s *session) writeBatch(b *batch) (int, error) {
	if s.send != nil {
		for _, f := range b.frames {
			s.send.seal(b.buf[f.start:f.end])
		}
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := s.conn.Write(b.buf)
	s.count.framesOut.Add(int64(len(b.frames)))
	s.count.bytesOut.Add(int64(n))
	if err != nil && !s.exact {
		return len(b.buf), err
	}
	return n, err
}

// writeFrame sends one frame at once; only the handshake uses it.
func (s *session) writeFrame(h header, body []byte) error {
	var b batch
	b.add(newFrameEncoder(), h, body, s.tagLen())
	_, err := s.writeBatch(&b)
	return errors.Wrap(err, "write peer frame")
}

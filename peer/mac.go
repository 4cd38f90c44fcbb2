package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/cockroachdb/errors"
)

const (
	tagSize   = sha256.Size
	nonceSize = 32
	// keyContext keeps session keys apart from other uses of the shared key.
	keyContext = "cactusproxy peer session 1"
)

var errTag = errors.New("peer frame is not authentic")

// Directions of a connection have keys of their own, so that a frame can not be
// sent back to its sender.
const (
	fromDialer   = "dialer"
	fromAcceptor = "acceptor"
)

// frameMAC authenticates the frames of one direction of one connection. The key
// holds a nonce of each end and the counter is part of what is authenticated.
// Without them a recorded frame, such as the release of a slot, could be played
// again on this or a later connection; with them it fits one position of one
// connection only.
type frameMAC struct {
	h       hash.Hash
	counter uint64
	sum     []byte
}

func newFrameMAC(key []byte, direction string, dialer, acceptor hello) *frameMAC {
	derive := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(keyContext), []byte(direction),
		dialer.Nonce, acceptor.Nonce,
		[]byte(dialer.From), []byte(acceptor.From),
	} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		derive.Write(size[:])
		derive.Write(part)
	}
	return &frameMAC{
		h:   hmac.New(sha256.New, derive.Sum(nil)),
		sum: make([]byte, 0, tagSize),
	}
}

// next returns the tag of the next frame, given in parts. It is overwritten by
// the following call.
func (m *frameMAC) next(parts ...[]byte) []byte {
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], m.counter)
	m.counter++
	m.h.Reset()
	m.h.Write(count[:])
	for _, p := range parts {
		m.h.Write(p)
	}
	m.sum = m.h.Sum(m.sum[:0])
	return m.sum
}

// seal fills in the tag at the end of an encoded frame.
func (m *frameMAC) seal(frame []byte) {
	data := frame[:len(frame)-tagSize]
	copy(frame[len(data):], m.next(data))
}

// check compares the tag of a received frame in constant time.
func (m *frameMAC) check(prefix, payload, tag []byte) error {
	if !hmac.Equal(m.next(prefix, payload), tag) {
		return errTag
	}
	return nil
}

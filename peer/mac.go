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
	// keyDerivationLabel separates session keys from other uses of the shared key.
	keyDerivationLabel = "cactusproxy peer session 1"
)

var errTag = errors.New("peer frame failed authentication")

// Each direction of a connection has its own key, so that a frame can not be reflected to
// its sender.
const (
	fromDialer   = "dialer"
	fromAcceptor = "acceptor"
)

// frameMAC authenticates the frames of one direction of one connection. The key is derived
// from a nonce of each end, and a frame counter is part of the authenticated data. A
// recorded frame, such as the release of a slot, therefore can not be replayed on this or a
// later connection.
type frameMAC struct {
	h       hash.Hash
	counter uint64
	sum     []byte
}

func newFrameMAC(key []byte, direction string, dialer, acceptor hello) *frameMAC {
	derive := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(keyDerivationLabel), []byte(direction),
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

// nextTag returns the tag of the next frame, whose data is given in parts. The result is
// valid until the following call.
func (m *frameMAC) nextTag(parts ...[]byte) []byte {
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

// seal writes the tag into the last tagSize bytes of an encoded frame.
func (m *frameMAC) seal(frame []byte) {
	data := frame[:len(frame)-tagSize]
	copy(frame[len(data):], m.nextTag(data))
}

// verify compares the tag of a received frame in constant time.
func (m *frameMAC) verify(prefix, payload, tag []byte) error {
	if !hmac.Equal(m.nextTag(prefix, payload), tag) {
		return errTag
	}
	return nil
}

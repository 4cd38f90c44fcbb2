package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A frame on the wire is
//
//	length  4 bytes, big endian: size of header and body
//	header  msgpack array: type, kind, id
//	body    bytes of the message, passed through unchanged
//	tag     32 bytes of HMAC-SHA256, only if the node has a shared key
//
// The sender and its incarnation are the same for all frames of a connection, so they are
// sent once, in the handshake.
const (
	lengthSize   = 4
	headerFields = 3
	// chunkSize bounds the allocation made before the payload arrives, in bytes: a length field
	// is not trusted on its own.
	chunkSize = 64 << 10
)

// frameType is the role of a frame in the protocol.
type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameNotify
	frameReply
	// frameError is a reply whose body is the text of the handler's error.
	frameError
	// frameConfirm completes the handshake.
	frameConfirm
	// frameOpen asks to make the connection a stream; the reply accepts or refuses.
	frameOpen
	// frameData carries bytes of a stream, frameNote a message about it.
	frameData
	frameNote
	// frameEnd ends a stream cleanly. Without it, the stream broke off.
	frameEnd
	// frameRetire asks the opener of a stream not to start anything new on it.
	frameRetire
)

// header precedes the body of each frame.
type header struct {
	typ  frameType
	kind Kind
	// id matches a reply to its request. A sender never reuses an id towards the same peer.
	// Notifications have id 0.
	id uint64
}

var errFrame = errors.New("malformed peer frame")

// frameEncoder appends frames to a byte slice and reuses its msgpack encoder.
type frameEncoder struct {
	w   appendWriter
	enc *msgpack.Encoder
}

func newFrameEncoder() *frameEncoder {
	e := &frameEncoder{}
	e.enc = msgpack.NewEncoder(&e.w)
	return e
}

// append appends a frame to dst, with tagSize zero bytes reserved for the tag.
func (e *frameEncoder) append(dst []byte, h header, body []byte, tagSize int) []byte {
	start := len(dst)
	e.w.b = append(dst, 0, 0, 0, 0)
	// appendWriter never returns an error, so the encoder does not either.
	_ = e.enc.EncodeArrayLen(headerFields)
	_ = e.enc.EncodeUint(uint64(h.typ))
	_ = e.enc.EncodeUint(uint64(h.kind))
	_ = e.enc.EncodeUint(h.id)
	out := append(e.w.b, body...)
	e.w.b = nil
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-lengthSize))
	return append(out, make([]byte, tagSize)...)
}

// appendWriter is an io.Writer that appends to a byte slice.
type appendWriter struct{ b []byte }

func (w *appendWriter) Write(p []byte) (int, error) {
	w.b = append(w.b, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter, without which the msgpack encoder would wrap the
// writer.
func (w *appendWriter) WriteByte(c byte) error {
	w.b = append(w.b, c)
	return nil
}

// frameDecoder splits payloads into header and body and reuses its msgpack decoder.
type frameDecoder struct {
	r   bytes.Reader
	dec *msgpack.Decoder
}

func newFrameDecoder() *frameDecoder {
	d := &frameDecoder{}
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}

// split returns the header and the body; the body shares the payload's memory. The decoder
// drops its reference to the payload afterwards: it lives as long as the connection and
// would otherwise retain the last large message on each.
func (d *frameDecoder) split(payload []byte) (header, []byte, error) {
	d.r.Reset(payload)
	defer d.r.Reset(nil)
	d.dec.Reset(&d.r)
	var h header
	n, err := d.dec.DecodeArrayLen()
	if err != nil || n != headerFields {
		return h, nil, errors.Wrap(errFrame, "header")
	}
	typ, err1 := d.dec.DecodeUint64()
	kind, err2 := d.dec.DecodeUint64()
	id, err3 := d.dec.DecodeUint64()
	if err := errors.CombineErrors(err1, errors.CombineErrors(err2, err3)); err != nil {
		return h, nil, errors.Wrap(errFrame, "header field")
	}
	if typ < uint64(frameRequest) || typ > uint64(frameRetire) || kind > uint64(^Kind(0)) {
		return h, nil, errors.Wrap(errFrame, "header value")
	}
	h = header{typ: frameType(typ), kind: Kind(kind), id: id}
	return h, payload[len(payload)-d.r.Len():], nil
}

// readPayload reads a length field and the payload after it. The buffer grows as bytes
// arrive, so a length field alone does not cause a large allocation.
func readPayload(br *bufio.Reader, maxSize int) (prefix [lengthSize]byte, payload []byte, err error) {
	if _, err := io.ReadFull(br, prefix[:]); err != nil {
		return prefix, nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(maxSize) {
		return prefix, nil, errors.Wrapf(errFrame, "length %d exceeds the limit of %d", size, maxSize)
	}
	payload, err = readSized(br, int(size))
	return prefix, payload, err
}

func readSized(br *bufio.Reader, size int) ([]byte, error) {
	if size <= chunkSize {
		payload := make([]byte, size)
		_, err := io.ReadFull(br, payload)
		return payload, asUnexpectedEOF(err)
	}
	var buf bytes.Buffer
	buf.Grow(chunkSize)
	_, err := io.CopyN(&buf, br, int64(size))
	return buf.Bytes(), asUnexpectedEOF(err)
}

// asUnexpectedEOF turns io.EOF in the middle of a frame into io.ErrUnexpectedEOF, which is
// not a clean end of the connection.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

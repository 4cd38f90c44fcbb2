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
//	body    as the sender gave it
//	tag     32 bytes of HMAC-SHA256, only if the node has a shared key
//
// Sender and incarnation are the same for all frames of a connection, so they
// travel once, in the handshake.
const (
	lengthSize   = 4
	headerFields = 3
	// chunkSize bounds what is allocated on the word of a length field alone.
	chunkSize = 64 << 10
)

// frameType tells what a frame is for.
type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameNotify
	frameReply
	// frameError is a reply whose body is the text of the handler's error.
	frameError
	// frameConfirm ends the handshake.
	frameConfirm
)

// header starts each frame.
type header struct {
	typ  frameType
	kind Kind
	// id pairs a reply with its request; it is never used again by the sender
	// towards the same peer. Notifications have 0.
	id uint64
}

var errFrame = errors.New("malformed peer frame")

// frameEncoder appends frames to a byte slice without allocating.
type frameEncoder struct {
	w   appendWriter
	enc *msgpack.Encoder
}

func newFrameEncoder() *frameEncoder {
	e := &frameEncoder{}
	e.enc = msgpack.NewEncoder(&e.w)
	return e
}

// append adds a frame with room for a tag of tagSize bytes.
func (e *frameEncoder) append(dst []byte, h header, body []byte, tagSize int) []byte {
	start := len(dst)
	e.w.b = append(dst, 0, 0, 0, 0)
	// An appendWriter never fails, so neither does the encoder.
	_ = e.enc.EncodeArrayLen(headerFields)
	_ = e.enc.EncodeUint(uint64(h.typ))
	_ = e.enc.EncodeUint(uint64(h.kind))
	_ = e.enc.EncodeUint(h.id)
	out := append(e.w.b, body...)
	e.w.b = nil
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-lengthSize))
	return append(out, make([]byte, tagSize)...)
}

// appendWriter is an io.Writer that appends.
type appendWriter struct{ b []byte }

func (w *appendWriter) Write(p []byte) (int, error) {
	w.b = append(w.b, p...)
	return len(p), nil
}

// WriteByte keeps the encoder from wrapping the writer.
func (w *appendWriter) WriteByte(c byte) error {
	w.b = append(w.b, c)
	return nil
}

// frameDecoder splits payloads into header and body.
type frameDecoder struct {
	r   bytes.Reader
	dec *msgpack.Decoder
}

func newFrameDecoder() *frameDecoder {
	d := &frameDecoder{}
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}

// split returns the header and the body, which shares the payload's memory. The decoder
// lets go of the payload: it lives as long as its connection, and would otherwise hold the
// largest list that came last on each.
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
	if typ < uint64(frameRequest) || typ > uint64(frameConfirm) || kind > uint64(^Kind(0)) {
		return h, nil, errors.Wrap(errFrame, "header value")
	}
	h = header{typ: frameType(typ), kind: Kind(kind), id: id}
	return h, payload[len(payload)-d.r.Len():], nil
}

// readPayload reads a length field and the payload after it. The payload grows
// as bytes arrive: a length field alone does not make this host allocate.
func readPayload(br *bufio.Reader, maxSize int) (prefix [lengthSize]byte, payload []byte, err error) {
	if _, err := io.ReadFull(br, prefix[:]); err != nil {
		return prefix, nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(maxSize) {
		return prefix, nil, errors.Wrapf(errFrame, "length %d is over %d", size, maxSize)
	}
	payload, err = readSized(br, int(size))
	return prefix, payload, err
}

func readSized(br *bufio.Reader, size int) ([]byte, error) {
	if size <= chunkSize {
		payload := make([]byte, size)
		_, err := io.ReadFull(br, payload)
		return payload, unexpected(err)
	}
	var buf bytes.Buffer
	buf.Grow(chunkSize)
	_, err := io.CopyN(&buf, br, int64(size))
	return buf.Bytes(), unexpected(err)
}

// unexpected turns the end of the stream inside a frame into an error of its
// own: it is no clean end of the connection.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

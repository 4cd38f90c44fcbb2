package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// Packed is a field of a message that is compressed on the wire if it is large.
//
// Lists of routes and targets are repetitive and compress well; uncompressed they delay
// heartbeats on slow links (TestListsShrinkWhenPacked).
type Packed[T any] struct {
	Value T
	// Encoded is the wire form of Value if PackOnce has encoded it already, else nil.
	Encoded []byte
}

// Pack returns v as a field that is compressed when it is sent.
func Pack[T any](v T) Packed[T] { return Packed[T]{Value: v} }

// PackOnce is like Pack but encodes v at once, for a value that is sent to many peers.
func PackOnce[T any](v T) (Packed[T], error) {
	encoded, err := encodePacked(v)
	return Packed[T]{Value: v, Encoded: encoded}, err
}

const (
	// compressThreshold is the encoded size, in bytes, from which a value is compressed. For
	// smaller values the CPU time costs more than the bytes saved.
	compressThreshold = 1 << 10
	// compressWindow is the zstd window, in bytes. The encoder allocates a multiple of it with
	// the first large message.
	compressWindow = 128 << 10
	// maxDecompressed bounds a decompressed value, in bytes. A list of 15,000 targets takes 2
	// MB, a configuration of 490 services with 100 routes each takes 10 MB.
	maxDecompressed = 64 << 20
)

// Formats of a packed value, sent as its first byte.
const (
	formatPlain = iota
	formatZstd
)

// The codecs keep no state between messages, and creating one costs more than encoding most
// messages. They are created at package initialization because a channel made inside a
// synctest bubble can not be used outside of it.
var (
	zstdEncoder = newZstdEncoder()
	zstdDecoder = newZstdDecoder()
)

func newZstdEncoder() *zstd.Encoder {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressWindow))
	if err != nil {
		panic(errors.Wrap(err, "create zstd encoder")) // the options are constants
	}
	z.EncodeAll(nil, nil) // the encoder creates its channel on first use
	return z
}

func newZstdDecoder() *zstd.Decoder {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressed))
	if err != nil {
		panic(errors.Wrap(err, "create zstd decoder")) // the options are constants
	}
	return z
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (p Packed[T]) EncodeMsgpack(enc *msgpack.Encoder) error {
	if p.Encoded != nil {
		return enc.EncodeBytes(p.Encoded)
	}
	encoded, err := encodePacked(p.Value)
	if err != nil {
		return err
	}
	return enc.EncodeBytes(encoded)
}

func encodePacked(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode packed part")
	}
	if len(raw) < compressThreshold {
		return append([]byte{formatPlain}, raw...), nil
	}
	return zstdEncoder.EncodeAll(raw, []byte{formatZstd}), nil
}

var errPacked = errors.New("malformed packed part")

// DecodeMsgpack implements msgpack.CustomDecoder.
func (p *Packed[T]) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return errors.Wrap(err, "read packed part")
	}
	if len(raw) == 0 {
		return errPacked
	}
	raw, err = decompress(raw[0], raw[1:])
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(raw, &p.Value), "decode packed part")
}

func decompress(format byte, raw []byte) ([]byte, error) {
	switch format {
	case formatPlain:
		return raw, nil
	case formatZstd:
		raw, err := zstdDecoder.DecodeAll(raw, nil)
		return raw, errors.Wrap(err, "unpack")
	default:
		return nil, errPacked
	}
}

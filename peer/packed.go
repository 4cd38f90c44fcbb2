package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// Packed is a part of a message that travels compressed if it is large.
//
// Lists of routes and targets are much alike and compress well; sent as they are, they hold up
// heartbeats on slow links (TestListsShrinkWhenPacked).
type Packed[T any] struct {
	Value T
	// Encoded is the value as it travels, if it was encoded before; see PackOnce.
	Encoded []byte
}

// Pack returns a value to be sent compressed.
func Pack[T any](v T) Packed[T] { return Packed[T]{Value: v} }

// PackOnce is Pack for a value that is sent to many: it is encoded now, and never again.
func PackOnce[T any](v T) (Packed[T], error) {
	encoded, err := encodePacked(v)
	return Packed[T]{Value: v, Encoded: encoded}, err
}

const (
	// packFrom is the size in bytes from which compressing pays: below it the time is
	// worth more than the bytes.
	packFrom = 1 << 10
	// packWindow is how far back the encoder looks for what is alike, in bytes. It costs
	// some times as much memory once the first large message is sent.
	packWindow = 128 << 10
	// maxUnpacked bounds what a message may grow to, in bytes: 15,000 targets are 2 MB, a
	// configuration of 490 services with 100 routes each 10 MB.
	maxUnpacked = 64 << 20
)

// Marks of what follows in a packed value.
const (
	markPlain = iota
	markZstd
)

// The codecs hold nothing of a message; making one costs more than most messages. They are
// made with the process, since their channels may not belong to one test's clock.
var (
	packer   = newPacker()
	unpacker = newUnpacker()
)

func newPacker() *zstd.Encoder {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow))
	if err != nil {
		panic(errors.Wrap(err, "make encoder")) // the options are constants
	}
	z.EncodeAll(nil, nil) // the encoder makes its channel at its first use
	return z
}

func newUnpacker() *zstd.Decoder {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked))
	if err != nil {
		panic(errors.Wrap(err, "make decoder")) // the options are constants
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
	if len(raw) < packFrom {
		return append([]byte{markPlain}, raw...), nil
	}
	return packer.EncodeAll(raw, []byte{markZstd}), nil
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
	raw, err = unpack(raw[0], raw[1:])
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(raw, &p.Value), "decode packed part")
}

func unpack(mark byte, raw []byte) ([]byte, error) {
	switch mark {
	case markPlain:
		return raw, nil
	case markZstd:
		raw, err := unpacker.DecodeAll(raw, nil)
		return raw, errors.Wrap(err, "unpack")
	default:
		return nil, errPacked
	}
}

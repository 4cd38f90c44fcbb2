package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

type testEntry struct {
	ID, Service, Addr, Zone string
	Revision                uint64
}

func testEntries(n int) []testEntry {
	rng := rand.New(rand.NewPCG(1, 1))
	list := make([]testEntry, n)
	for i := range list {
		list[i] = testEntry{
			ID: fmt.Sprintf("i-%010x", rng.Uint64()>>24), Service: fmt.Sprintf("svc%d", rng.IntN(8)),
			Addr: fmt.Sprintf("10.%d.64.%d:8783", rng.IntN(4), rng.IntN(250)), Zone: "z", Revision: uint64(i),
		}
	}
	return list
}

func TestPackedRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 5, 3000} {
		want := Pack(testEntries(n))
		raw, err := msgpack.Marshal(want)
		assert.NilError(t, err)
		var got Packed[[]testEntry]
		assert.NilError(t, msgpack.Unmarshal(raw, &got))
		assert.Equal(t, len(got.Value), n)
		if n > 0 {
			assert.DeepEqual(t, got, want)
		}
	}
}

// A list of 1,000 targets takes 77 kB plain and 15 kB compressed.
func TestListsShrinkWhenPacked(t *testing.T) {
	list := testEntries(1000)
	plain, err := msgpack.Marshal(list)
	assert.NilError(t, err)
	packed, err := msgpack.Marshal(Pack(list))
	assert.NilError(t, err)
	t.Logf("%d bytes, %d packed", len(plain), len(packed))
	assert.Check(t, len(packed) < len(plain)/4)
}

// A corrupt value, or one that would exceed the decompression limit, must return an error.
func TestBadPackedPartsAreRefused(t *testing.T) {
	huge := append([]byte{formatZstd}, zstdEncoder.EncodeAll(make([]byte, 2*maxDecompressed), nil)...)
	for _, body := range [][]byte{{}, {7}, {formatZstd, 1, 2, 3}, {formatPlain, 0xc1}, huge} {
		raw, err := msgpack.Marshal(body)
		assert.NilError(t, err)
		var got Packed[[]testEntry]
		assert.Check(t, msgpack.Unmarshal(raw, &got) != nil)
	}
}

func FuzzUnpack(f *testing.F) {
	raw, err := msgpack.Marshal(Pack(testEntries(50)))
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var got Packed[[]testEntry]
		_ = msgpack.Unmarshal(raw, &got)
	})
}

func BenchmarkPack3000Targets(b *testing.B) {
	list := Pack(testEntries(3000))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := msgpack.Marshal(list); err != nil {
			b.Fatal(err)
		}
	}
}

package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

type entryForTest struct {
	ID, Service, Addr, Zone string
	Revision                uint64
}

func entriesForTest(n int) []entryForTest {
	rng := rand.New(rand.NewPCG(1, 1))
	list := make([]entryForTest, n)
	for i := range list {
		list[i] = entryForTest{
			ID: fmt.Sprintf("i-%010x", rng.Uint64()>>24), Service: fmt.Sprintf("svc%d", rng.IntN(8)),
			Addr: fmt.Sprintf("10.%d.64.%d:8783", rng.IntN(4), rng.IntN(250)), Zone: "z", Revision: uint64(i),
		}
	}
	return list
}

func TestPackedComesBack(t *testing.T) {
	for _, n := range []int{0, 1, 5, 3000} {
		want := Pack(entriesForTest(n))
		raw, err := msgpack.Marshal(want)
		assert.NilError(t, err)
		var got Packed[[]entryForTest]
		assert.NilError(t, msgpack.Unmarshal(raw, &got))
		assert.Equal(t, len(got.Value), n)
		if n > 0 {
			assert.DeepEqual(t, got, want)
		}
	}
}

// 1,000 targets are 77 kB, and 15 kB packed.
func TestListsShrinkWhenPacked(t *testing.T) {
	list := entriesForTest(1000)
	plain, err := msgpack.Marshal(list)
	assert.NilError(t, err)
	packed, err := msgpack.Marshal(Pack(list))
	assert.NilError(t, err)
	t.Logf("%d bytes, %d packed", len(plain), len(packed))
	assert.Check(t, len(packed) < len(plain)/4)
}

// A message that was damaged, or that would grow without bound, is an error and nothing
// else.
func TestBadPackedPartsAreRefused(t *testing.T) {
	huge := append([]byte{markZstd}, packer.EncodeAll(make([]byte, 2*maxUnpacked), nil)...)
	for _, body := range [][]byte{{}, {7}, {markZstd, 1, 2, 3}, {markPlain, 0xc1}, huge} {
		raw, err := msgpack.Marshal(body)
		assert.NilError(t, err)
		var got Packed[[]entryForTest]
		assert.Check(t, msgpack.Unmarshal(raw, &got) != nil)
	}
}

func FuzzUnpack(f *testing.F) {
	raw, err := msgpack.Marshal(Pack(entriesForTest(50)))
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var got Packed[[]entryForTest]
		_ = msgpack.Unmarshal(raw, &got)
	})
}

func BenchmarkPack3000Targets(b *testing.B) {
	list := Pack(entriesForTest(3000))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := msgpack.Marshal(list); err != nil {
			b.Fatal(err)
		}
	}
}

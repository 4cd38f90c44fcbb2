package quarantine

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an upload that is another one each time that it arrives in other pieces.
func TestContentDoesNotDependOnItsPieces(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	body := make([]byte, 5*firstMark+77)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	whole := NewContent()
	_, _ = whole.Write(body)
	assert.Equal(t, whole.sent().Bytes, int64(4*firstMark))
	whole.End()
	whole.End()
	for range 50 {
		c := NewContent()
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 1+rng.IntN(2*firstMark))
			_, _ = c.Write(rest[:n])
			rest = rest[n:]
		}
		c.End()
		assert.DeepEqual(t, c.parts(), whole.parts())
	}
	assert.Equal(t, len(whole.parts()), 4, "64, 128 and 256 KiB, and the whole")
}

func BenchmarkContent(b *testing.B) {
	piece := make([]byte, 32<<10)
	b.SetBytes(int64(len(piece)))
	b.ReportAllocs()
	c := NewContent()
	for b.Loop() {
		_, _ = c.Write(piece)
	}
}

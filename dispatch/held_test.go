package dispatch

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// largeAnswer is an answer of some size that tells its length, or does not.
func largeAnswer(size int, tells bool) *http.Response {
	length := int64(-1)
	if tells {
		length = int64(size)
	}
	return response(200, io.NopCloser(strings.NewReader(strings.Repeat("x", size))), length, nil)
}

// free returns how much of a bound is not taken.
func (h *heldAnswers) free(limit int64) int64 {
	for n := limit; n > 0; n-- {
		if h.memory.TryAcquire(n) {
			h.memory.Release(n)
			return n
		}
	}
	return 0
}

// Many callers ask for large answers at once, and none has read its own yet. No more is
// held than there is memory for; the others pass through as they come, and all are whole.
func TestAnswersBeyondTheMemoryPassThrough(t *testing.T) {
	const limit = 1 << 20
	h := newHeldAnswers(limit)
	var open []*http.Response
	held := 0
	for i := range 100 {
		resp := largeAnswer(90_000, i%2 == 0)
		assert.NilError(t, h.hold(resp))
		if _, ok := resp.Body.(*heldBody); ok {
			held++
		}
		open = append(open, resp)
	}
	assert.Check(t, held >= 4 && held*90_000 <= limit, "%d held", held)
	for _, resp := range open {
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(b), 90_000)
		assert.NilError(t, resp.Body.Close())
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, h.free(limit), int64(limit))
}

// However an answer ends, its memory is given back.
func TestMemoryOfAnswersIsGivenBack(t *testing.T) {
	const limit = maxHeld + 100
	h := newHeldAnswers(limit)
	broken := func(length int64) *http.Response {
		part := io.MultiReader(strings.NewReader("par"), errReader{errors.New("reset")})
		return response(200, io.NopCloser(part), length, nil)
	}
	for _, resp := range []*http.Response{
		largeAnswer(0, true), largeAnswer(10, false), largeAnswer(maxHeld, true), largeAnswer(maxHeld+1, false),
		largeAnswer(maxHeld+1, true), broken(10), broken(-1),
	} {
		if h.hold(resp) == nil {
			assert.NilError(t, resp.Body.Close())
		}
		assert.Equal(t, h.free(limit), int64(limit))
	}
}

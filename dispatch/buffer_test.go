package dispatch

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pick"
)

// sizedResponse returns a response of a size, with or without a Content-Length.
func sizedResponse(size int, withLength bool) *http.Response {
	length := int64(-1)
	if withLength {
		length = int64(size)
	}
	return newResponse(200, io.NopCloser(strings.NewReader(strings.Repeat("x", size))), length, nil)
}

// free returns how much of the limit isn't in use.
func (h *responseBuffers) free(limit int64) int64 {
	for n := limit; n > 0; n-- {
		if h.memory.TryAcquire(n) {
			h.memory.Release(n)
			return n
		}
	}
	return 0
}

// Many callers request large responses at once and read none of them yet. Only as many may be
// buffered as fit into the memory; the others are streamed, and all must be complete.
func TestResponsesBeyondTheBufferLimitAreStreamed(t *testing.T) {
	const limit = 1 << 20
	h := newResponseBuffers(limit)
	var open []*http.Response
	buffered := 0
	for i := range 100 {
		resp := sizedResponse(90_000, i%2 == 0)
		assert.NilError(t, h.buffer(resp))
		if _, ok := resp.Body.(*bufferedBody); ok {
			buffered++
		}
		open = append(open, resp)
	}
	assert.Check(t, buffered >= 4 && buffered*90_000 <= limit, "%d buffered", buffered)
	for _, resp := range open {
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(b), 90_000)
		assert.NilError(t, resp.Body.Close())
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, h.free(limit), int64(limit))
}

// The memory of a response must be released however the response ends.
func TestMemoryOfAnswersIsGivenBack(t *testing.T) {
	const limit = maxBufferedResponse + 100
	h := newResponseBuffers(limit)
	broken := func(length int64) *http.Response {
		part := io.MultiReader(strings.NewReader("par"), errReader{errors.New("reset")})
		return newResponse(200, io.NopCloser(part), length, nil)
	}
	for _, resp := range []*http.Response{
		sizedResponse(0, true), sizedResponse(10, false), sizedResponse(maxBufferedResponse, true), sizedResponse(maxBufferedResponse+1, false),
		sizedResponse(maxBufferedResponse+1, true), broken(10), broken(-1),
	} {
		if h.buffer(resp) == nil {
			assert.NilError(t, resp.Body.Close())
		}
		assert.Equal(t, h.free(limit), int64(limit))
	}
}

// Guards against targets that count as busy while responses wait for those to earlier requests of the
// caller's connection. A response that is only partly in memory still occupies its target.
func TestBufferedResponseReleasesItsTarget(t *testing.T) {
	for _, tc := range []struct {
		early    bool
		size     int
		released bool
	}{{true, 1000, true}, {true, maxBufferedResponse + 1, false}, {false, 1000, false}} {
		b := newHarness(t, respond(200, strings.Repeat("x", tc.size), nil))
		b.d.buffers = newResponseBuffers(1 << 20)
		c := newCall(http.MethodGet)
		c.ReleaseBuffered = tc.early
		r := b.do(t, t.Context(), c)
		assert.Equal(t, len(b.picker.reports()) == 1, tc.released)
		body, err := readReply(t, r)
		assert.NilError(t, err)
		assert.Equal(t, len(body), tc.size)
		assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.OK})
	}
}

// Guards against buffered responses that take several times the memory that is accounted for, where callers don't read
// them.
func TestBufferedResponsesTakeNoMoreThanIsAccountedFor(t *testing.T) {
	const limit = 32 << 20
	for _, size := range []int{100, 5_000, 100_000, 200 << 10, maxBufferedResponse} {
		for _, withLength := range []bool{false, true} {
			h := newResponseBuffers(limit)
			var open []*http.Response
			before := heapInUse()
			for range 20 {
				resp := sizedResponse(size, withLength)
				assert.NilError(t, h.buffer(resp))
				_, ok := resp.Body.(*bufferedBody)
				assert.Assert(t, ok)
				assert.Equal(t, resp.ContentLength, int64(size))
				open = append(open, resp)
			}
			taken, accounted := heapInUse()-before, limit-h.free(limit)
			assert.Check(t, taken <= accounted+20*overhead, "%d bytes, known %t: %d taken, %d accounted for", size, withLength, taken, accounted)
			for _, resp := range open {
				b, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, len(b), size)
				assert.NilError(t, resp.Body.Close())
			}
		}
	}
}

// overhead is what a response of the test takes besides its body, in bytes.
const overhead = 8 << 10

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the first collection does not free the content of sync.Pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

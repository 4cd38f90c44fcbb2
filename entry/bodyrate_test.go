package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// slowLink is the capacity in bytes per second of the slowest links in use, 10 Mbit/s.
	slowLink = 10e6 / 8
	// photoBytes is the size of an upload.
	photoBytes = 100 << 10
)

// readUploads reads n uploads concurrently and returns how long that takes.
func readUploads(t *testing.T, linkBytes float64, watches bool, n int) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newBodyRateLimiter(linkBytes, func() bool { return watches })
		start := time.Now()
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				r := httptest.NewRequest(http.MethodPost, "/lots/photo", bytes.NewReader(make([]byte, photoBytes)))
				u := newUploadWriter(httptest.NewRecorder(), r, p)
				got, err := io.Copy(io.Discard, u.request.Body)
				assert.Check(t, err)
				assert.Check(t, got == photoBytes, "%d bytes", got)
			})
		}
		wg.Wait()
		took = time.Since(start)
	})
	return took
}

// If uploads fill a host's link, the news that a target has left is delayed and callers are still
// sent to it. However many uploads there are, they must be read at less than the link's capacity,
// and at much less on the host that receives the changes for all others.
func TestUploadsLeaveRoomOnTheLink(t *testing.T) {
	const uploads = 40
	whole := time.Duration(uploads * photoBytes / slowLink * float64(time.Second))
	took := readUploads(t, slowLink, false, uploads)
	assert.Check(t, took > whole*5/4, "read in %s, the link would take %s", took, whole)
	assert.Check(t, took < whole*3/2, "read in %s, the link would take %s", took, whole)
	took = readUploads(t, slowLink, true, uploads)
	assert.Check(t, took > whole*4, "read in %s by a host that watches the store, the link would take %s", took, whole)
}

// A single upload on an idle host, or any on a link of unknown capacity, must not be delayed.
func TestSingleUploadIsNotHeldUp(t *testing.T) {
	assert.Equal(t, readUploads(t, slowLink, true, 1), time.Duration(0))
	assert.Equal(t, readUploads(t, 0, true, 40), time.Duration(0))
}

// A caller disconnects while its upload waits for the rate limiter. The call must end immediately
// and not keep its place until the link has capacity again.
func TestCallerLeavesAPacedUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBodyRateLimiter(1, nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/lots/photo", bytes.NewReader(make([]byte, 2*bodyRateBurst)))
		u := newUploadWriter(httptest.NewRecorder(), r, p)
		start := time.Now()
		_, err := io.Copy(io.Discard, u.request.Body)
		assert.Check(t, err != nil)
		assert.Check(t, time.Since(start) <= time.Second)
	})
}

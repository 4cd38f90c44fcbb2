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
	// slowLink is what the slowest links in use carry, in bytes a second: 10 Mbit/s.
	slowLink = 10e6 / 8
	// photo is the size of an upload, in bytes.
	photo = 100 << 10
)

// readUploads reads n uploads at once, and returns how long it takes.
func readUploads(t *testing.T, linkBytes float64, watches bool, n int) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newBodyPace(linkBytes, func() bool { return watches })
		begun := time.Now()
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				r := httptest.NewRequest(http.MethodPost, "/lots/photo", bytes.NewReader(make([]byte, photo)))
				u := newUploadWriter(httptest.NewRecorder(), r, p)
				got, err := io.Copy(io.Discard, u.request.Body)
				assert.Check(t, err)
				assert.Check(t, got == photo, "%d bytes", got)
			})
		}
		wg.Wait()
		took = time.Since(begun)
	})
	return took
}

// Callers are sent to a target that has left, since the news of it stand behind uploads
// that fill a host's link. Uploads are read at less than the link carries, however many
// there are, and at much less where the news come in for all hosts.
func TestUploadsLeaveRoomOnTheLink(t *testing.T) {
	const uploads = 40
	whole := time.Duration(uploads * photo / slowLink * float64(time.Second))
	took := readUploads(t, slowLink, false, uploads)
	assert.Check(t, took > whole*5/4, "read in %s, the link carries it in %s", took, whole)
	assert.Check(t, took < whole*3/2, "read in %s, the link carries it in %s", took, whole)
	took = readUploads(t, slowLink, true, uploads)
	assert.Check(t, took > whole*4, "read in %s by a host that watches, the link carries it in %s", took, whole)
}

// An upload on a quiet host, or on a link that nobody told of, is not held up.
func TestSingleUploadIsNotHeldUp(t *testing.T) {
	assert.Equal(t, readUploads(t, slowLink, true, 1), time.Duration(0))
	assert.Equal(t, readUploads(t, 0, true, 40), time.Duration(0))
}

// A caller leaves while its upload waits for the link: the call ends at once, and does not
// hold its place until the link has room.
func TestCallerLeavesAPacedUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBodyPace(1, nil)
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/lots/photo", bytes.NewReader(make([]byte, 2*paceBurst)))
		u := newUploadWriter(httptest.NewRecorder(), r, p)
		begun := time.Now()
		_, err := io.Copy(io.Discard, u.request.Body)
		assert.Check(t, err != nil)
		assert.Check(t, time.Since(begun) <= time.Second)
	})
}

package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/suspicion"
)

// Guards against a request that crashes targets for one caller and is cleared by the good responses to
// others, and against a path that one caller closes for all.
func TestRequestsOfTwoCallersAreNotTheSame(t *testing.T) {
	s, d, _ := newServer(t)
	digest := func(auth string) uint64 {
		r := httptest.NewRequest(http.MethodGet, "http://auction.example/lots/7", nil)
		if auth != "" {
			r.Header.Set("Authorization", auth)
		}
		do(s, r)
		return d.call.Identity.Request
	}
	assert.Check(t, digest("a") != digest("b"))
	assert.Check(t, digest("a") != digest(""))
	assert.Equal(t, digest("a"), digest("a"))
	assert.Equal(t, digest(""), digest(""))
}

// Guards against a caller whose credential is new each time, so that the quarantine finds nothing that its
// requests have in common; and against a request that is another one at each host that is addressed by its IP.
func TestRequestsThatDifferInTheirCredentialAreOneGroup(t *testing.T) {
	s, d, _ := newServer(t)
	identity := func(host, path, auth string) suspicion.ID {
		r := httptest.NewRequest(http.MethodGet, "http://"+host+path, nil)
		r.Header.Set("Authorization", auth)
		do(s, r)
		return d.call.Identity
	}
	one := identity("auction.example", "/lots/7", "a")
	other := identity("auction.example", "/lots/7", "b")
	assert.Check(t, other.Request != one.Request)
	assert.Equal(t, other.Group, one.Group)
	assert.Equal(t, identity("AUCTION.example:8080", "/lots/7", "a"), one)
	assert.Equal(t, identity("10.0.0.1", "/auction/lots", "a"), identity("10.0.0.2:8080", "/auction/lots", "a"))
	assert.Check(t, identity("auction.example", "/lots/8", "a").Group != one.Group)
}

// Guards against uploads to one path that are one request to the quarantine, so that one of them crashes
// targets without end beside the others, or closes the path for them.
func TestUploadsThatAreNotHeldInMemoryAreToldApart(t *testing.T) {
	s, d, _ := newServer(t)
	digest := func(body io.Reader, length int64) uint64 {
		r := httptest.NewRequest(http.MethodPut, "http://auction.example/lots", body)
		r.ContentLength = length
		do(s, r)
		_, inMemory := d.call.Body.Bytes()
		assert.Check(t, !inMemory)
		return d.call.Identity.Request
	}
	for _, length := range []int64{18, -1} {
		one := digest(strings.NewReader("lake, a photograph"), length)
		assert.Check(t, one != digest(strings.NewReader("hall, a photograph"), length))
		assert.Equal(t, one, digest(iotest.OneByteReader(strings.NewReader("lake, a photograph")), length))
	}
}

// Guards against a body in chunks that is another request on a host that has no memory left for it.
func TestBodyInChunksIsTheSameRequestWithAndWithoutMemory(t *testing.T) {
	s, d, _ := newServer(t)
	digest := func() uint64 {
		r := httptest.NewRequest(http.MethodPut, "http://auction.example/lots", strings.NewReader("an upload"))
		r.ContentLength = -1
		do(s, r)
		return d.call.Identity.Request
	}
	withMemory := digest()
	assert.Check(t, s.memory.TryAcquire(1<<10))
	assert.Equal(t, digest(), withMemory)
	_, inMemory := d.call.Body.Bytes()
	assert.Check(t, !inMemory)
}

// Guards against an upload that reaches the target without its first part, or twice.
func TestHeadOfAnUploadIsForwarded(t *testing.T) {
	s, d, _ := newServer(t)
	for _, length := range []int64{60, -1} {
		body := strings.Repeat("abc", 20)
		r := httptest.NewRequest(http.MethodPut, "http://auction.example/lots", strings.NewReader(body))
		r.ContentLength = length
		do(s, r)
		assert.Equal(t, d.body, body)
	}
}

// Guards against a slow upload that is a new request with each way in which its parts arrive, and against
// one that is not sent on before its caller, which wants a response first, goes on.
func TestHeadThatIsLateIsKnownByOneOfFewLengths(t *testing.T) {
	digests := make(map[uint64]bool)
	for n := range 40 {
		synctest.Test(t, func(t *testing.T) {
			s, d, _ := newServer(t)
			from, to := io.Pipe()
			r := httptest.NewRequest(http.MethodPut, "http://auction.example/lots", from)
			r.ContentLength = 60
			start := time.Now()
			go func() {
				_, _ = io.WriteString(to, strings.Repeat("a", n))
				time.Sleep(time.Second)
				_, _ = io.WriteString(to, strings.Repeat("a", 60-n))
				_ = to.Close()
			}()
			do(s, r)
			assert.Equal(t, d.body, strings.Repeat("a", 60))
			assert.Check(t, d.call.Arrived.Sub(start) <= headWait)
			digests[d.call.Identity.Request] = true
		})
	}
	assert.Check(t, len(digests) <= 2, "%d requests", len(digests)) // 0 and 8 bytes of the head
}

package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/upstream"
)

// tricklePause is the time between two bytes of trickle.
const tricklePause = 10 * time.Millisecond

// trickle responds with a body of a byte now and then, without end, until its attempt is canceled.
func trickle(status int, h http.Header) behavior {
	return func(req *http.Request) upstream.Result {
		from, to := io.Pipe()
		go func() {
			for req.Context().Err() == nil {
				time.Sleep(tricklePause)
				_, _ = to.Write([]byte("x"))
			}
		}()
		context.AfterFunc(req.Context(), func() { _ = to.CloseWithError(req.Context().Err()) })
		return upstream.Result{Sent: true, Response: newResponse(status, from, -1, h)}
	}
}

// Guards against a request that a target rejected, and whose caller waits for its whole timeout in place of
// another target since the body of the rejection never ends.
func TestRejectionWithoutEndIsRetriedAtOnce(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		synctest.Test(t, func(t *testing.T) {
			h := headers("Id", "r1", "Not-Run", "1")
			b := newContractHarness(t, trickle(status, h), respond(200, "own", headers("Id", "r1", "Seal", "s")))
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			begin := time.Now()
			body, err := readReply(t, b.do(t, ctx, newContractCall(http.MethodPost)))
			assert.NilError(t, err)
			assert.Equal(t, body, "own", "%d", status)
			assert.Check(t, time.Since(begin) <= 100*time.Millisecond, "%d: %s", status, time.Since(begin))
			time.Sleep(2 * tricklePause) // the target notices
		})
	}
}

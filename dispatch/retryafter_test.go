package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// A target's Retry-After applies to this host only. It must not be forwarded to the caller when
// the call is refused.
func TestRetryAfterOfOneTargetIsNotForwarded(t *testing.T) {
	shedWithRetryAfter := respond(http.StatusServiceUnavailable, "", http.Header{targetapi.HeaderShed: {targetapi.Yes}, "Retry-After": {"3"}})
	b := newHarness(t, shedWithRetryAfter, shedWithRetryAfter)
	c := newCall(http.MethodPost)
	c.MaxAttempts = 2
	r := b.do(t, t.Context(), c)
	assert.Equal(t, r.Result.Reason, outcome.ReasonShed)
	assert.Check(t, r.Result.RetryAfter < time.Second, "%s", r.Result.RetryAfter)
}

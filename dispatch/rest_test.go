package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Guards against telling a caller to stay away for as long as one target wants nothing of this host.
func TestRestOfOneTargetIsNotToldToCallers(t *testing.T) {
	resting := answers(http.StatusServiceUnavailable, "", http.Header{targetapi.HeaderShed: {targetapi.Yes}, "Retry-After": {"3"}})
	b := newBench(t, resting, resting)
	c := call(http.MethodPost)
	c.Attempts = 2
	r := b.do(t, t.Context(), c)
	assert.Equal(t, r.Result.Reason, outcome.ReasonShed)
	assert.Check(t, r.Result.RetryAfter < time.Second, "%s", r.Result.RetryAfter)
}

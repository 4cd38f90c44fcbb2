package dispatch

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Guards against a path that opens no connection in time and that is reported as a failure of the
// target, uses up the retry budget, or hides from the caller that the call did not run.
func TestCallThatNoPathCarriesIsRetriedAndBlamedOnNoTarget(t *testing.T) {
	noPath := func(*http.Request) upstream.Result {
		return upstream.Result{Err: errors.Mark(context.DeadlineExceeded, upstream.ErrPathFault)}
	}
	b := newHarness(t, noPath, noPath, noPath)
	b.d.retries = new(hedgeBudget) // allows no retry
	reply := b.do(t, context.Background(), newCall(http.MethodPost))
	assert.Equal(t, reply.Result.Outcome, outcome.NotRun)
	assert.Equal(t, reply.Result.Reason, outcome.ReasonConnect)
	assert.DeepEqual(t, b.picker.reports(), []pick.Class{pick.NoPath, pick.NoPath, pick.NoPath})
}

package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// busyPicker refuses requests for some time because its targets run other requests.
type busyPicker struct {
	fakePicker
	until time.Time
}

func (p *busyPicker) Pick(ctx context.Context, r pick.Request) (pick.Grant, outcome.Result) {
	if time.Now().Before(p.until) {
		res := outcome.Refuse(outcome.ReasonNoTarget)
		res.TargetsBusy = true
		return nil, res
	}
	return p.fakePicker.Pick(ctx, r)
}

// Guards against a suspect that is refused although a target will be idle within a moment, and
// against one that waits long for it.
func TestSuspectWaitsAMomentForAnIdleTarget(t *testing.T) {
	for busy, want := range map[time.Duration]int{100 * time.Millisecond: http.StatusOK, time.Second: http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, respond(http.StatusOK, "", nil))
			b.d.picker = &busyPicker{fakePicker: fakePicker{targets: 1}, until: time.Now().Add(busy)}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			begin := time.Now()
			assert.Equal(t, b.do(t, ctx, newCall(http.MethodGet)).Status, want)
			assert.Check(t, time.Since(begin) <= maxIdleWaits*idleWait, "waited %s", time.Since(begin))
		})
	}
}

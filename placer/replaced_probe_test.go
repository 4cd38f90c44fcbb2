package placer

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// successor answers at an address that was another target's.
type successor struct{}

func (successor) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	h := http.Header{"Instance": {"t2"}, "Load": {"0,0"}, "Limit": {"1"}}
	return upstream.Result{Sent: true, Response: &http.Response{StatusCode: 200, Header: h, Body: io.NopCloser(strings.NewReader(""))}}
}

// Guards against taking what the next target at an address says of itself for the last one's word.
func TestProbeAnsweredByAnotherTargetSaysNothing(t *testing.T) {
	l := newRestartLab(t)
	tg := l.list(100, false)
	l.p.deps.Upstream = successor{}
	l.p.deps.Contract = &targetapi.Contract{Instance: "Instance", Load: "Load", ReadLoad: readSimLoad, Limit: "Limit"}
	l.p.deps.Heard = func(blackboard.ServiceKey, blackboard.Target, targetapi.Signals) { t.Error("heard") }
	tg.probing = make(chan struct{})
	l.p.probeTarget(l.p.service(restartKey), tg, tg.info, "/h", 1)
	assert.Check(t, tg.figures.ReportedAt.IsZero(), "no load was told")
	assert.Check(t, !tg.open(time.Now()), "it is left alone for a while")
}

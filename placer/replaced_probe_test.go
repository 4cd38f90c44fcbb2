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

// replacementTarget answers at an address that belonged to another target before.
type replacementTarget struct{}

func (replacementTarget) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	h := http.Header{"Instance": {"t2"}, "Load": {"0,0"}, "Limit": {"1"}}
	return upstream.Result{Sent: true, Response: &http.Response{StatusCode: 200, Header: h, Body: io.NopCloser(strings.NewReader(""))}}
}

// Guards against attributing the signals of the target that now has an address to the one that
// had it before.
func TestProbeAnsweredByAnotherTargetIsIgnored(t *testing.T) {
	l := newTestPlacer(t)
	tg := l.listRun(100, false)
	l.p.deps.Upstream = replacementTarget{}
	l.p.deps.Contract = &targetapi.Contract{Instance: "Instance", Load: "Load", ReadLoad: readSimLoad, Limit: "Limit"}
	l.p.deps.OnSignals = func(blackboard.ServiceKey, blackboard.Target, targetapi.Signals) { t.Error("heard") }
	tg.probeDone = make(chan struct{})
	l.p.probeTarget(l.p.service(testKey), tg, tg.info, "/h", 1)
	assert.Check(t, tg.figures.ReportedAt.IsZero(), "a load report was recorded")
	assert.Check(t, !tg.available(time.Now()), "the target is not backed off")
}

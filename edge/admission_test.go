package edge_test

import (
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// refusedByShare matches the log line of a call that was refused for its share before any attempt.
var refusedByShare = regexp.MustCompile(`request=(\S+) outcome=not-run reason=overload status=503 [^\n]*rank=\d share=0\.\d+\n`)

// A tenant floods a service whose targets are full. A call refused for its share must never run;
// its caller gets 503 with a Retry-After, and its log line names the rank and the share.
func TestRefusalByShareOverSockets(t *testing.T) {
	l := newLocalCluster(t, 2)
	l.configureTenants(2, []standin.Tenant{{Name: "ysgol", Keys: []string{"ysgol-secret"}}, {Name: "coleg", Keys: []string{"coleg-secret"}}})
	l.await("keys are known", func() bool {
		return l.sendWithKey("ysgol-secret", l.daemons[0], "/lots/7").status == http.StatusOK &&
			l.sendWithKey("ysgol-secret", l.daemons[1], "/lots/7").status == http.StatusOK
	})
	for _, tg := range l.targets {
		tg.Work = 200 * time.Millisecond
	}
	l.key = "ysgol-secret"
	var wg sync.WaitGroup
	var answers sync.Map // request ID -> response
	id := ""
	l.await("a call is refused for its share", func() bool {
		l.ids++
		sent, d := "flood-"+strconv.Itoa(l.ids), l.daemons[l.ids%2]
		wg.Go(func() { answers.Store(sent, l.sendWithID(sent, d, http.MethodGet, "/lots/7", "")) })
		for _, log := range l.logs {
			if m := refusedByShare.FindStringSubmatch(log.String()); m != nil {
				id = m[1]
			}
		}
		return id != ""
	})
	wg.Wait()
	assert.Equal(t, l.runs(id), 0)
	a, _ := answers.Load(id)
	r := a.(response)
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.Check(t, err == nil && after > 0, "%q", r.header.Get("Retry-After"))
	assertInOrder(t, l.explanation(id), "outcome=not-run", "reason=overload", "tenant=ysgol", "retry_after=", "rank=", "share=")
}

package edge_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/explain"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// explanation returns the log lines of all hosts about a request, as "cactusctl explain" prints
// them.
func (l *localCluster) explanation(id string) string {
	l.t.Helper()
	logs := make([]io.Reader, len(l.logs))
	for i, b := range l.logs {
		logs[i] = strings.NewReader(b.String())
	}
	s, err := explain.Find(id, logs...)
	assert.NilError(l.t, err)
	var out strings.Builder
	assert.NilError(l.t, s.Write(&out))
	l.t.Log("\n" + out.String())
	return out.String()
}

// assertInOrder fails the test unless the explanation contains all parts in this order.
func assertInOrder(t *testing.T, text string, parts ...string) {
	t.Helper()
	rest := text
	for _, p := range parts {
		_, after, ok := strings.Cut(rest, p)
		assert.Assert(t, ok, "no %q in the expected place in:\n%s", p, text)
		rest = after
	}
}

// All slots and queues are full. The log line of a rejected request must name the reason, state
// that it did not run, and show the time that it was queued.
func TestExplainRefusalUnderOverload(t *testing.T) {
	l := newLocalCluster(t, 1)
	for _, tg := range l.targets {
		tg.Work = time.Second
	}
	var wg sync.WaitGroup
	refused := make(chan string, 100)
	for range 60 {
		l.ids++
		id := "over-" + string(rune('a'+l.ids%26)) + string(rune('a'+l.ids/26))
		wg.Go(func() {
			if a := l.sendWithID(id, l.daemons[0], http.MethodPost, "/bids/7", ""); a.status == http.StatusServiceUnavailable {
				refused <- a.id
			}
		})
	}
	wg.Wait()
	id := <-refused
	assert.Equal(t, l.runs(id), 0)
	assertInOrder(t, l.explanation(id), "msg=call", "request="+id, "outcome=not-run", "reason=", "status=503", "service=bids", "took=", "retry_after=", "why=", "open=3", "cheapest=")
}

// A target runs a mutating request and its response is lost. The log line must name the target,
// state that the request may have run, and show the figures by which the target was chosen.
func TestExplainLostAnswer(t *testing.T) {
	l := newLocalCluster(t, 1)
	for _, tg := range l.targets {
		tg.LoseResponse = func(string) bool { return true }
	}
	a := l.send(l.daemons[0], http.MethodPost, "/bids/7", "")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assertInOrder(t, l.explanation(a.id), "request="+a.id, "outcome=unknown", "reason=target-broke-off", "status=502", "attempts=\"bids-", "ran=maybe", "cost=", "age=")
}

// During an outage of the store a target is replaced by another at the same address. The new
// one rejects a request that names the old one, and the host retries on a third target. The
// explanation must show the outage, both attempts, and what the host learned from the rejection.
func TestExplainTargetThatHadLeft(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.store.Set(standin.Fault{Refuse: true})
	l.await("store lost", func() bool { return strings.Contains(l.logs[0].String(), "store lost") })
	l.targets["bids-0"].ID = "bids-9"
	l.targets["bids-0"].OmitID = true // otherwise a probe detects it before a request does
	var a response
	l.await("a request that reaches it", func() bool {
		a = l.send(l.daemons[0], http.MethodPost, "/bids/7", "")
		return strings.Contains(l.logs[0].String(), "request="+a.id)
	})
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, l.runs(a.id), 1)
	assertInOrder(t, l.explanation(a.id), "store lost", "target leaving by its own answer", "target=bids-0",
		"request="+a.id, "outcome=answered", "bids-0:target-replaced", "ran=no", ":ok/200")
}

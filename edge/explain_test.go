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

// story returns what the logs of all hosts tell of a request, as
// "cactusctl explain" prints it.
func (l *lab) story(id string) string {
	l.t.Helper()
	logs := make([]io.Reader, len(l.logs))
	for i, b := range l.logs {
		logs[i] = strings.NewReader(b.String())
	}
	s, err := explain.Request(id, logs...)
	assert.NilError(l.t, err)
	var out strings.Builder
	assert.NilError(l.t, s.Write(&out))
	l.t.Log("\n" + out.String())
	return out.String()
}

// has fails unless the story has all parts, in this order.
func has(t *testing.T, story string, parts ...string) {
	t.Helper()
	rest := story
	for _, p := range parts {
		_, after, ok := strings.Cut(rest, p)
		assert.Assert(t, ok, "no %q, in its place, in:\n%s", p, story)
		rest = after
	}
}

// Many callers come at once and all slots and queues are taken. One is refused: its
// line names the reason, says that it did not run, and how long it waited for room.
func TestExplainRefusalUnderOverload(t *testing.T) {
	l := newLab(t, 1)
	for _, tg := range l.targets {
		tg.Work = time.Second
	}
	var wg sync.WaitGroup
	refused := make(chan string, 100)
	for range 60 {
		l.ids++
		id := "over-" + string(rune('a'+l.ids%26)) + string(rune('a'+l.ids/26))
		wg.Go(func() {
			if a := l.sendAs(id, l.daemons[0], http.MethodPost, "/bids/7", ""); a.status == http.StatusServiceUnavailable {
				refused <- a.id
			}
		})
	}
	wg.Wait()
	id := <-refused
	assert.Equal(t, l.runs(id), 0)
	has(t, l.story(id), "msg=call", "request="+id, "outcome=not-run", "reason=", "status=503", "service=bids", "took=", "retry_after=", "why=", "open=3", "cheapest=")
}

// A target ran a bid and its answer was lost. The bid's line names the target, says
// that it may have run, and what the choice of that target rested on.
func TestExplainLostAnswer(t *testing.T) {
	l := newLab(t, 1)
	for _, tg := range l.targets {
		tg.LoseResponse = func(string) bool { return true }
	}
	a := l.send(l.daemons[0], http.MethodPost, "/bids/7", "")
	assert.Equal(t, a.status, http.StatusBadGateway)
	has(t, l.story(a.id), "request="+a.id, "outcome=unknown", "reason=target-broke-off", "status=502", "attempts=\"bids-", "ran=maybe", "cost=", "age=")
}

// A target left while the store was out, so that the host did not hear of it, and
// another one has its address by now. A bid that was meant for the first is refused
// unrun by the second and goes to a third. The story shows that the store was lost,
// both attempts, and what this host learned from the refusal.
func TestExplainTargetThatHadLeft(t *testing.T) {
	l := newLab(t, 1)
	l.store.Set(standin.Fault{Refuse: true})
	l.await("store lost", func() bool { return strings.Contains(l.logs[0].String(), "store lost") })
	l.targets["bids-0"].ID = "bids-9"
	l.targets["bids-0"].OmitID = true // else a probe shows it, and no bid goes there
	var a answer
	l.await("a bid that met it", func() bool {
		a = l.send(l.daemons[0], http.MethodPost, "/bids/7", "")
		return strings.Contains(l.logs[0].String(), "request="+a.id)
	})
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, l.runs(a.id), 1)
	has(t, l.story(a.id), "store lost", "target leaving by its own answer", "target=bids-0",
		"request="+a.id, "outcome=answered", "bids-0:target-replaced", "ran=no", ":ok/200")
}

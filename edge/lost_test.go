package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// Guards against a page that is refused to all callers of one host because targets that run on lost
// two responses to it.
func TestLostResponsesAreNoCrashesOnOneHost(t *testing.T) {
	t.Parallel()
	testLostResponses(t, 1)
}

// Guards against a page that is refused on hosts that lost no response themselves.
func TestLostResponsesAreNoCrashesOnThreeHosts(t *testing.T) {
	t.Parallel()
	testLostResponses(t, 3)
}

// testLostResponses lets two targets lose a response to the same page and sends the page again for
// ten callers at once.
func testLostResponses(t *testing.T, hosts int) {
	l := newLocalCluster(t, 0)
	var lost atomic.Int64
	for _, tg := range l.targets {
		tg.StartMillis = time.Now().UnixMilli()
		l.list(tg, "ready")
		tg.LoseResponse = func(id string) bool { return id == "first" && lost.Add(1) <= 2 }
	}
	for range hosts {
		l.start()
	}
	l.sendWithID("first", l.daemons[0], http.MethodGet, "/lots/popular", "")
	assert.Equal(t, lost.Load(), int64(2), "responses lost")
	var wg sync.WaitGroup
	responses := make([]response, 10)
	for i := range responses {
		wg.Go(func() {
			d := l.daemons[i%hosts]
			responses[i] = l.sendWithID(fmt.Sprintf("caller-%d", i), d, http.MethodGet, "/lots/popular", "")
		})
	}
	wg.Wait()
	for i, a := range responses {
		assert.NilError(t, a.err)
		assert.Check(t, a.status == http.StatusOK, "caller %d: %d %s", i, a.status, a.header.Get("Cactusproxy-Reason"))
		assert.Check(t, a.status != http.StatusOK || a.body == standin.ResponseBody(a.id, 0))
	}
}

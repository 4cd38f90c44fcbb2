package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sending requests to a target before the back-off that it asked for with
// Retry-After is over.
func TestBackOffOfATargetIsHonored(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 2)
	tg := l.targets["lots-0"]
	tg.BackOff = func() time.Duration { return 1500 * time.Millisecond } // not a whole second
	l.start()                                                            // after the first Retry-After
	for _, d := range l.daemons {
		before := len(tg.Arrivals())
		for begin := time.Now(); time.Since(begin) < time.Second; {
			assert.Equal(t, l.send(d, http.MethodGet, "/lots/7", "").status, http.StatusOK, "the other targets serve")
		}
		got := len(tg.Arrivals()) - before
		assert.Check(t, got >= 1 && got <= 2, "%d requests of one host", got)
	}
	tg.BackOff = nil
	l.await("the target is used again", func() bool { return l.sendReads(l.daemons[0], tg, 10) > 0 })
}

// While all targets have asked for a back-off, requests must be rejected at once: guards against
// further attempts at these targets and against queueing for them.
func TestRequestsAreRejectedAtOnceWhileAllTargetsBackOff(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 1)
	for _, id := range []string{"lots-0", "lots-1", "lots-2"} {
		l.targets[id].BackOff = func() time.Duration { return 2 * time.Second }
	}
	d := l.daemons[0]
	l.send(d, http.MethodGet, "/lots/7", "")
	l.send(d, http.MethodGet, "/lots/7", "")
	time.Sleep(300 * time.Millisecond)
	begin := time.Now()
	a := l.send(d, http.MethodGet, "/lots/7", "")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Check(t, a.header.Get("Retry-After") != "")
	assert.Check(t, time.Since(begin) < 200*time.Millisecond, "%s", time.Since(begin))
	arrived := 0
	for _, id := range []string{"lots-0", "lots-1", "lots-2"} {
		arrived += len(l.targets[id].Arrivals())
	}
	assert.Equal(t, arrived, 3)
}

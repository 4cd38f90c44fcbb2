package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against hosts that come back to a target before the rest that it asked them for is over.
func TestTargetThatAsksForRestGetsIt(t *testing.T) {
	t.Parallel()
	l := newLab(t, 2)
	tg := l.targets["lots-0"]
	tg.BackOff = func() time.Duration { return 1500 * time.Millisecond } // a fraction of a second counts
	l.start()                                                         // one that was not there as the target began to ask
	for _, d := range l.daemons {
		before := len(tg.Arrivals())
		for begin := time.Now(); time.Since(begin) < time.Second; {
			assert.Equal(t, l.send(d, http.MethodGet, "/lots/7", "").status, http.StatusOK, "the others serve")
		}
		got := len(tg.Arrivals()) - before
		assert.Check(t, got >= 1 && got <= 2, "%d requests of one host", got)
	}
	tg.BackOff = nil
	l.await("it is used again", func() bool { return l.browse(l.daemons[0], tg, 10) > 0 })
}

// Guards against attempts at targets that are known to rest, and callers that wait for them.
func TestCallersAreRefusedAtOnceWhileAllTargetsRest(t *testing.T) {
	t.Parallel()
	l := newLab(t, 1)
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

package edge_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leavingLab is daemons and three targets, one of which says in its answers that it leaves once
// that is set. The record shows it as ready.
func leavingLab(t *testing.T) (l *lab, tg *target, leaving *atomic.Bool) {
	l = newLab(t, 2)
	leaving = new(atomic.Bool)
	tg = l.targets["lots-0"]
	tg.Leaving = leaving.Load
	return l, tg, leaving
}

// browse sends requests through a daemon and returns how many the target got.
func (l *lab) browse(d *daemon, tg *target, n int) int {
	before := len(tg.Arrivals())
	for range n {
		a := l.send(d, http.MethodGet, "/lots/7", "")
		assert.Equal(l.t, a.status, http.StatusOK)
	}
	return len(tg.Arrivals()) - before
}

// Guards against hosts that go on sending requests to a target which told them that it leaves.
func TestTargetThatSaysItLeavesGetsNothingMore(t *testing.T) {
	t.Parallel()
	l, tg, leaving := leavingLab(t)
	assert.Check(t, l.browse(l.daemons[0], tg, 30) > 0)
	leaving.Store(true)
	l.start() // one that was not there as the target began to say so
	for _, d := range l.daemons {
		l.browse(d, tg, 30) // the first answer or probe tells
		assert.Equal(t, l.browse(d, tg, 60), 0)
	}
}

// Guards against forgetting that a target leaves when its entry runs out and comes back as ready.
func TestTargetThatSaidItLeavesStaysOutWhenItsEntryComesBack(t *testing.T) {
	t.Parallel()
	l, tg, leaving := leavingLab(t)
	leaving.Store(true)
	d := l.daemons[0]
	l.browse(d, tg, 30)
	l.store.Remove("servers", tg.ID)
	listed := func() int {
		n := 0
		for _, list := range d.Board().Targets.Load().ByService {
			n += len(list)
		}
		return n
	}
	l.await("the entry is gone", func() bool { return listed() == 5 })
	l.list(tg, "ready")
	l.await("the entry is back", func() bool { return listed() == 6 })
	assert.Equal(t, l.browse(d, tg, 60), 0)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, l.browse(d, tg, 60), 0)
}

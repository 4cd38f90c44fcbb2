package edge_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newClusterWithLeavingTarget returns a cluster with a target that announces its shutdown in its
// responses once leaving is set, while its entry in the store still says that it is ready.
func newClusterWithLeavingTarget(t *testing.T) (l *localCluster, tg *target, leaving *atomic.Bool) {
	l = newLocalCluster(t, 2)
	leaving = new(atomic.Bool)
	tg = l.targets["lots-0"]
	tg.Leaving = leaving.Load
	return l, tg, leaving
}

// sendReads sends n safe requests through a daemon and returns how many of them tg received.
func (l *localCluster) sendReads(d *daemon, tg *target, n int) int {
	before := len(tg.Arrivals())
	for range n {
		a := l.send(d, http.MethodGet, "/lots/7", "")
		assert.Equal(l.t, a.status, http.StatusOK)
	}
	return len(tg.Arrivals()) - before
}

// Guards against sending more requests to a target that has announced its shutdown.
func TestTargetThatSaysItLeavesGetsNothingMore(t *testing.T) {
	t.Parallel()
	l, tg, leaving := newClusterWithLeavingTarget(t)
	assert.Check(t, l.sendReads(l.daemons[0], tg, 30) > 0)
	leaving.Store(true)
	l.start() // a host that started after the first announcement
	for _, d := range l.daemons {
		l.sendReads(d, tg, 30) // the first response or probe carries the announcement
		assert.Equal(t, l.sendReads(d, tg, 60), 0)
	}
}

// Guards against forgetting a target's announced shutdown when its entry is removed and then
// listed as ready again.
func TestTargetThatSaidItLeavesStaysOutWhenItsEntryComesBack(t *testing.T) {
	t.Parallel()
	l, tg, leaving := newClusterWithLeavingTarget(t)
	leaving.Store(true)
	d := l.daemons[0]
	l.sendReads(d, tg, 30)
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
	assert.Equal(t, l.sendReads(d, tg, 60), 0)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, l.sendReads(d, tg, 60), 0)
}

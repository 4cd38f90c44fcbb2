package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// heartbeats has all targets write their entries so many times.
func (l *lab) heartbeats(n int) {
	for range n {
		for _, tg := range l.targets {
			l.list(tg, "ready")
		}
	}
}

// idle reports whether a target gets none of some requests.
func (l *lab) idle(tg *target) bool { return l.browse(l.daemons[0], tg, 30) == 0 }

// Guards against taking what is written after the store came back from an older copy for older
// than what the copy lacks.
func TestChangesAfterTheStoreCameBackFromACopyAreHeeded(t *testing.T) {
	t.Parallel()
	l := newLab(t, 2)
	copied := l.store.Snapshot()
	l.heartbeats(5)
	l.browse(l.daemons[0], l.targets["lots-0"], 10)
	l.store.Restore(copied)
	l.list(l.targets["lots-0"], "draining")
	l.await("the drain is heeded", func() bool { return l.idle(l.targets["lots-0"]) })
	l.addTarget("lots-9", "lots")
	l.await("a new target is used", func() bool { return !l.idle(l.targets["lots-9"]) })
	l.configure(2, standin.Route{Name: "late", Host: hostName, Prefix: "/late/", Type: "safe", Service: "lots", Timeout: "2s", MaxAttempts: 2})
	l.await("a new route is served", func() bool {
		return l.send(l.daemons[1], http.MethodGet, "/late/7", "").status == http.StatusOK
	})
}

// Guards against using targets again that an older copy shows as they were before they left.
func TestTargetsThatLeftStayOutWhenACopyShowsThem(t *testing.T) {
	t.Parallel()
	l := newLab(t, 2)
	l.heartbeats(1)
	copied := l.store.Snapshot()
	draining, gone := l.targets["lots-0"], l.targets["lots-1"]
	l.list(draining, "draining")
	l.store.Remove("servers", gone.ID)
	l.await("both are out", func() bool { return l.idle(draining) && l.idle(gone) })
	l.store.Restore(copied)
	for begin := time.Now(); time.Since(begin) < 2*time.Second; {
		assert.Check(t, l.idle(draining), "draining, %s after the copy", time.Since(begin))
		assert.Check(t, l.idle(gone), "gone, %s after the copy", time.Since(begin))
	}
	l.list(draining, "draining")
	l.store.Remove("servers", gone.ID)
	l.heartbeatsOf("lots-2")
	assert.Check(t, l.idle(draining) && l.idle(gone))
}

func (l *lab) heartbeatsOf(ids ...string) {
	for _, id := range ids {
		l.list(l.targets[id], "ready")
	}
}

// Guards against filling a zone again since an older copy lacks the order to empty it.
func TestZoneStaysEmptyWhileTheOrderIsWrittenAgain(t *testing.T) {
	t.Parallel()
	l := newLab(t, 2)
	l.moveTo("b", "lots-0", "lots-2", "bids-0", "bids-1", "bids-2")
	copied := l.store.Snapshot()
	l.store.Put("op", "evacuate/a", []byte("{}"))
	l.await("the zone is empty", func() bool { return l.idle(l.targets["lots-1"]) })
	l.store.Restore(copied)
	time.AfterFunc(time.Second, func() { l.store.Put("op", "evacuate/a", []byte("{}")) })
	for begin := time.Now(); time.Since(begin) < 4*time.Second; {
		assert.Check(t, l.idle(l.targets["lots-1"]), "%s after the copy", time.Since(begin))
	}
	l.store.Remove("op", "evacuate/a")
	l.await("the zone is used again", func() bool { return !l.idle(l.targets["lots-1"]) })
}

// Guards against hosts that no other host finds after a restart, since an older copy lacks them.
func TestHostsAreWrittenDownAgainAfterACopy(t *testing.T) {
	t.Parallel()
	l := newLab(t, 1)
	copied := l.store.Snapshot()
	written := func() bool {
		for _, r := range l.store.Rows("cactusproxy_hosts") {
			if strings.Contains(string(r.Value), l.seeds[0]) {
				return true
			}
		}
		return false
	}
	l.await("hosts are written down", written)
	l.store.Restore(copied)
	assert.Check(t, !written(), "the copy is older")
	l.await("hosts are written down again", written)
}

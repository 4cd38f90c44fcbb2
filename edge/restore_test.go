package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// rewriteEntries rewrites the entries of all targets n times.
func (l *localCluster) rewriteEntries(n int) {
	for range n {
		for _, tg := range l.targets {
			l.list(tg, "ready")
		}
	}
}

// receivesNothing sends requests and reports whether the target received none of them.
func (l *localCluster) receivesNothing(tg *target) bool {
	return l.sendReads(l.daemons[0], tg, 30) == 0
}

// The store is restored from an older backup and hands out versions again that it used before.
// Guards against treating writes after the restore as older than those lost in it.
func TestChangesAfterARestoreAreApplied(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 2)
	copied := l.store.Snapshot()
	l.rewriteEntries(5)
	l.sendReads(l.daemons[0], l.targets["lots-0"], 10)
	l.store.Restore(copied)
	l.list(l.targets["lots-0"], "draining")
	l.await("the draining target gets no requests", func() bool { return l.receivesNothing(l.targets["lots-0"]) })
	l.addTarget("lots-9", "lots")
	l.await("a new target is used", func() bool { return !l.receivesNothing(l.targets["lots-9"]) })
	l.configure(2, standin.Route{Name: "late", Host: hostName, Prefix: "/late/", Type: "safe", Service: "lots", Timeout: "2s", MaxAttempts: 2})
	l.await("a new route is served", func() bool {
		return l.send(l.daemons[1], http.MethodGet, "/late/7", "").status == http.StatusOK
	})
}

// Guards against using targets that have left, but that the restored backup still lists as ready.
func TestTargetsThatLeftStayOutWhenACopyShowsThem(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 2)
	l.rewriteEntries(1)
	copied := l.store.Snapshot()
	draining, gone := l.targets["lots-0"], l.targets["lots-1"]
	l.list(draining, "draining")
	l.store.Remove("servers", gone.ID)
	l.await("neither target gets requests", func() bool { return l.receivesNothing(draining) && l.receivesNothing(gone) })
	l.store.Restore(copied)
	for begin := time.Now(); time.Since(begin) < 2*time.Second; {
		assert.Check(t, l.receivesNothing(draining), "draining target in use %s after the restore", time.Since(begin))
		assert.Check(t, l.receivesNothing(gone), "removed target in use %s after the restore", time.Since(begin))
	}
	l.list(draining, "draining")
	l.store.Remove("servers", gone.ID)
	l.rewriteEntriesOf("lots-2")
	assert.Check(t, l.receivesNothing(draining) && l.receivesNothing(gone))
}

func (l *localCluster) rewriteEntriesOf(ids ...string) {
	for _, id := range ids {
		l.list(l.targets[id], "ready")
	}
}

// Guards against using an evacuated zone because the restored backup lacks the evacuation order,
// until the order is written again.
func TestZoneStaysEmptyWhileTheOrderIsWrittenAgain(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 2)
	l.setZone("b", "lots-0", "lots-2", "bids-0", "bids-1", "bids-2")
	copied := l.store.Snapshot()
	l.store.Put("op", "evacuate/a", []byte("{}"))
	l.await("the zone gets no requests", func() bool { return l.receivesNothing(l.targets["lots-1"]) })
	l.store.Restore(copied)
	time.AfterFunc(time.Second, func() { l.store.Put("op", "evacuate/a", []byte("{}")) })
	for begin := time.Now(); time.Since(begin) < 4*time.Second; {
		assert.Check(t, l.receivesNothing(l.targets["lots-1"]), "evacuated zone in use %s after the restore", time.Since(begin))
	}
	l.store.Remove("op", "evacuate/a")
	l.await("the zone is used again", func() bool { return !l.receivesNothing(l.targets["lots-1"]) })
}

// The list of hosts must be written again after a restore. Guards against hosts that a starting
// host cannot discover because the backup lacks them.
func TestHostsAreWrittenDownAgainAfterACopy(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 1)
	copied := l.store.Snapshot()
	written := func() bool {
		for _, r := range l.store.Rows("cactusproxy_hosts") {
			if strings.Contains(string(r.Value), l.seeds[0]) {
				return true
			}
		}
		return false
	}
	l.await("the list of hosts is written", written)
	l.store.Restore(copied)
	assert.Check(t, !written(), "the backup must lack the host")
	l.await("the list of hosts is written again", written)
}

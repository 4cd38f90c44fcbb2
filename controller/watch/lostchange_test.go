package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against a lost drain that stays unknown while changes keep coming: a heartbeat shows the
// loss, but the next change ends the wait before the host asks others, and the digest of that change,
// which shows the loss too, is disregarded during the wait.
func TestLostDrainIsKnownThoughChangesKeepComing(t *testing.T) {
	var losing atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Drop = func(_, to peer.HostID, kind peer.Kind) bool {
			h := losing.Load()
			return h != nil && h.addr == string(to) && kind == kindChanges
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h, watcher := fl.nonWatcher(), fl.watching()[0]
		losing.Store(h)
		fl.record.Put(entryOf(3, true))
		time.Sleep(20 * time.Millisecond)
		losing.Store(nil)
		for i, start := 20, time.Now(); h.routesTo(3) && time.Since(start) < bound; i++ {
			h.deliverHeartbeat(watcher)
			time.Sleep(10 * time.Millisecond)
			fl.record.Put(entryOf(i, false))
			time.Sleep(catchUpAfter - 8*time.Millisecond)
		}
		assert.Check(t, !h.routesTo(3), "still routes to a target that drains after %s", bound)
	})
}

// deliverHeartbeat delivers a heartbeat of a watcher to a host.
func (h *host) deliverHeartbeat(watcher *host) {
	watcher.c.mu.Lock()
	b := heartbeat{
		Host: watcher.c.deps.Self, Sent: watcher.c.reading(time.Now()), StoreOK: true, Targets: targetsAnswer{Answered: true},
		Version: watcher.c.version(), Newest: watcher.c.state.Newest(), Digest: watcher.c.state.Digest(), Hosts: watcher.c.hostDigest(),
	}
	watcher.c.mu.Unlock()
	_, _ = h.c.onHeartbeat(context.Background(), ports.HostID(watcher.addr), b)
}

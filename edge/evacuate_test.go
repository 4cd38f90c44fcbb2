package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setZone lists a target in another availability zone.
func (l *localCluster) setZone(zone string, ids ...string) {
	for _, id := range ids {
		l.targets[id].zone = zone
		l.list(l.targets[id], "ready")
	}
}

// An operator evacuates one availability zone, then the other, and ends both evacuations. With one
// zone evacuated all requests must be served; with both they must be rejected without delay.
func TestZoneIsEmptiedAndTakenBack(t *testing.T) {
	l := newLocalCluster(t, 3)
	l.setZone("b", "bids-1", "bids-2")
	bid := func(i int) response { return l.send(l.daemons[i%3], http.MethodPost, "/bids/7", "") }
	served := func(i int) bool { return bid(i).status == http.StatusOK }
	idle := func(ids ...string) bool {
		mark := time.Now()
		for i := range 12 {
			bid(i)
		}
		for _, id := range ids {
			if l.targets[id].LastRun().After(mark) {
				return false
			}
		}
		return true
	}

	l.store.Put("op", "evacuate/b", []byte("{}"))
	l.await("zone b gets no requests", func() bool { return idle("bids-1", "bids-2") })
	for i := range 30 {
		assert.Check(t, served(i))
	}
	assert.Check(t, idle("bids-1", "bids-2"))

	l.store.Put("op", "evacuate/a", []byte("{}"))
	l.await("neither zone gets requests", func() bool { return idle("bids-0", "bids-1", "bids-2") })
	begin := time.Now()
	a := bid(0)
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Check(t, a.header.Get("Retry-After") != "")
	assert.Check(t, time.Since(begin) < time.Second, "refused at once")

	l.store.Remove("op", "evacuate/b")
	l.await("zone b serves requests of every host", func() bool { return served(0) && served(1) && served(2) })
	assert.Check(t, idle("bids-0"))
	l.store.Remove("op", "evacuate/a")
	l.await("zone a gets requests again", func() bool { return !idle("bids-0") })
	for _, log := range l.logs {
		assert.Check(t, strings.Contains(log.String(), `msg="zone evacuated"`))
		assert.Check(t, strings.Contains(log.String(), `msg="evacuation ended"`))
		assert.Check(t, strings.Contains(log.String(), "reason=evacuated"))
	}
}

package edge_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/stallproxy"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// changesKnownWithin is the time in which all hosts must know a change.
const changesKnownWithin = 2 * time.Second

// assertChangesKnown changes the routes, lets a target leave, and fails the test unless all hosts know
// both in time and serve requests, also those of the new route.
func (l *localCluster) assertChangesKnown() {
	l.t.Helper()
	leaving := l.targets["lots-0"]
	begin := time.Now()
	l.configure(2, standin.Route{Name: "more", Host: hostName, Prefix: "/more/", Type: "safe", Service: "lots", Timeout: "2s", MaxAttempts: 2})
	l.list(leaving, "draining")
	l.await("all hosts know the changes", func() bool {
		for _, d := range l.daemons {
			if d.Board().Routes.Load().Config.Version != 2 || !d.knowsLeaving(leaving.ID) {
				return false
			}
		}
		return true
	})
	took := time.Since(begin)
	assert.Check(l.t, took < changesKnownWithin, "changes known after %s", took)
	for _, d := range l.daemons {
		assert.Equal(l.t, l.send(d, http.MethodGet, "/more/7", "").status, http.StatusOK)
	}
	l.assertServed(l.cutTraffic(l.daemons, 0, 300*time.Millisecond))
}

// knowsLeaving reports whether a daemon sends nothing new to a target since it leaves.
func (d *daemon) knowsLeaving(id string) bool {
	for _, list := range d.Board().Targets.Load().ByService {
		for _, t := range list {
			if string(t.ID) == id && !t.Leaving {
				return false
			}
		}
	}
	return true
}

// stallAll stalls the established connections of some proxies.
func stallAll(t *testing.T, list []*stallproxy.Proxy) {
	n := 0
	for _, p := range list {
		n += p.Stall()
	}
	assert.Check(t, n > 0, "no connection was established")
}

// Guards against hosts that miss changes because their connections to each other carry nothing any
// more, without a reset.
func TestChangesAreKnownThoughConnectionsBetweenHostsStalled(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 0)
	l.proxyPeers = true
	for range 4 {
		l.start()
	}
	l.assertServed(l.cutTraffic(l.daemons, 0, 300*time.Millisecond))
	stallAll(t, l.peerProxies)
	l.assertChangesKnown()
}

// Guards against hosts that miss changes because the connections on which they watch the store carry
// nothing any more, without a reset.
func TestChangesAreKnownThoughConnectionsToTheStoreStalled(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 0)
	proxy := l.proxyTo(l.storeAddr)
	l.storeAddr = proxy.Addr()
	for range 4 {
		l.start()
	}
	l.assertServed(l.cutTraffic(l.daemons, 0, 300*time.Millisecond))
	stallAll(t, []*stallproxy.Proxy{proxy})
	l.assertChangesKnown()
}

// Guards against requests that are lost one after the other on pooled connections to targets which
// carry nothing any more, without a reset.
func TestRequestsAreAnsweredThoughConnectionsToTargetsStalled(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 0)
	var proxies []*stallproxy.Proxy
	for _, tg := range l.targets {
		p := l.proxyTo(tg.server.Listener.Addr().String())
		proxies = append(proxies, p)
		tg.addr = p.Addr()
		l.list(tg, "ready")
	}
	for range 4 {
		l.start()
	}
	for _, d := range l.daemons {
		l.burst(d) // leaves several idle connections to each target
	}
	stallAll(t, proxies)
	l.assertChangesKnown()
}

package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/stallproxy"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// changesKnownWithin is the time in which all hosts must know a change.
const changesKnownWithin = 2 * time.Second

// stallNoticedWithin is the time after which hosts must answer all requests again once the connections to
// their targets have stalled.
const stallNoticedWithin = 2 * time.Second

// stallRounds is how often connections stall in a test: those that replaced the first ones may stall too.
const stallRounds = 2

// assertChangesKnown changes the routes, lets a target leave, and fails the test unless all hosts know
// both in time and serve requests, also those of the new route.
func (l *localCluster) assertChangesKnown(round int) {
	l.t.Helper()
	version := uint64(2 + round)
	leaving := l.targets[fmt.Sprintf("lots-%d", round)]
	prefix := fmt.Sprintf("/more%d/", round)
	begin := time.Now()
	l.configure(version, standin.Route{Name: "more", Host: hostName, Prefix: prefix, Type: "safe", Service: "lots", Timeout: "2s", MaxAttempts: 2})
	l.list(leaving, "draining")
	l.await("all hosts know the changes", func() bool {
		for _, d := range l.daemons {
			if d.Board().Routes.Load().Config.Version != version || !d.knowsLeaving(leaving.ID) {
				return false
			}
		}
		return true
	})
	took := time.Since(begin)
	assert.Check(l.t, took < changesKnownWithin, "changes known after %s", took)
	for _, d := range l.daemons {
		assert.Equal(l.t, l.send(d, http.MethodGet, prefix+"7", "").status, http.StatusOK)
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

// stallAll stalls the established connections of some proxies, once there are any.
func (l *localCluster) stallAll(list []*stallproxy.Proxy) {
	l.await("connections that can stall", func() bool {
		n := 0
		for _, p := range list {
			n += p.Stall()
		}
		return n > 0
	})
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
	for round := range stallRounds {
		l.stallAll(l.peerProxies)
		l.assertChangesKnown(round)
	}
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
	for round := range stallRounds {
		l.stallAll([]*stallproxy.Proxy{proxy})
		l.assertChangesKnown(round)
	}
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
	for round := range stallRounds {
		for _, d := range l.daemons {
			l.burst(d) // leaves several idle connections to each target
		}
		l.stallAll(proxies)
		for i, lost := range l.lostInSeries(10) {
			t.Logf("round %d: host %d lost %d of 10 requests", round, i, lost)
			assert.Check(t, lost <= maxLostToStall, "host %d lost %d requests", i, lost)
		}
		l.assertServed(l.cutTraffic(l.daemons, stallNoticedWithin, 2*stallNoticedWithin))
		l.assertChangesKnown(round)
	}
}

// maxLostToStall is how many requests in a row a host may lose to connections that stalled: one each to
// two targets, which tell that those to all others are concerned.
const maxLostToStall = 2

// lostInSeries sends requests one after the other through each daemon, to all at the same time, and
// returns how many were not served, by daemon.
func (l *localCluster) lostInSeries(n int) []int {
	lost := make([]int, len(l.daemons))
	var wg sync.WaitGroup
	for i, d := range l.daemons {
		wg.Go(func() {
			for k := range n {
				if l.sendWithID(fmt.Sprintf("series-%p-%d-%d", &lost[0], i, k), d, http.MethodGet, "/lots/7", "").status != http.StatusOK {
					lost[i]++
				}
			}
		})
	}
	wg.Wait()
	return lost
}

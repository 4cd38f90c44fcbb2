package watch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// scaleHosts is the number of hosts of the tests with slow links; with 300 they take two
// minutes.
var scaleHosts = flag.Int("scale-hosts", 100, "hosts in the tests with slow links")

const (
	// slowLink is the rate of each host's link in bytes per second, 10 Mbit/s.
	slowLink = 10e6 / 8
	// targetsEach is the number of targets per host.
	targetsEach = 10
)

// largeConfig returns a configuration of n routes; one in seven has a timeout that depends on
// the version.
func largeConfig(version uint64, n int) *routing.Config {
	rng := rand.New(rand.NewPCG(1, 1))
	c := config(version)
	for i := range n {
		timeout := time.Second
		if i%7 == 0 {
			timeout += time.Duration(version) * time.Millisecond
		}
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07x", rng.Uint32()>>4), Host: fmt.Sprintf("hulo%d.example", i%40),
			Prefix: fmt.Sprintf("/leny%x/", rng.Uint32()>>8), Kind: routing.Safe,
			Timeout: timeout, Objective: 200 * time.Millisecond, Priority: 1, MaxAttempts: 2,
			Split: []routing.WeightedService{{Service: service, Weight: 1}},
		})
	}
	return c
}

// traffic counts the bytes of messages between hosts.
type traffic struct {
	mu    sync.Mutex
	hosts map[ports.HostID]int
	all   int
}

func (tr *traffic) sent(from, to peer.HostID, _ peer.Kind, size int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.hosts[from] += size
	tr.hosts[to] += size
	tr.all += size
}

// reset returns the bytes since the last call, of all hosts and of the busiest one.
func (tr *traffic) reset() (all, busiest int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, n := range tr.hosts {
		busiest = max(busiest, n)
	}
	all, tr.all = tr.all, 0
	clear(tr.hosts)
	return all, busiest
}

// withSlowLinks runs f with hosts on links of 10 Mbit/s and targetsEach targets per host.
func withSlowLinks(t *testing.T, f func(fl *fleet, tr *traffic)) {
	t.Helper()
	tr := &traffic{hosts: make(map[ports.HostID]int)}
	setUp := func(fl *fleet) {
		fl.net.Bandwidth = func(ports.HostID) float64 { return slowLink }
		fl.net.OnSend = tr.sent
		fl.record.PutConfig(largeConfig(1, 100))
	}
	withNetwork(t, *scaleHosts, setUp, func(fl *fleet) {
		tr.reset()
		for i := 10; i < targetsEach**scaleHosts; i++ {
			fl.record.Put(entryOf(i, false))
			if i%targetsEach == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		f(fl, tr)
	})
}

// All targets start within a second, and each change of the list goes to every host. Guards
// against saturating the links for seconds, as when each host of a zone is sent every change in
// full.
func TestManyTargetsAreListedOverSlowLinks(t *testing.T) {
	withSlowLinks(t, func(fl *fleet, tr *traffic) {
		last := targetsEach**scaleHosts - 1
		took := fl.await(nil, func(h *host) bool { return h.routesTo(last) })
		all, busiest := tr.reset()
		t.Logf("%d targets known after %s, %d kB, busiest host %d kB", last+1, took, all>>10, busiest>>10)
		assert.Check(t, took < 500*time.Millisecond, "known after %s", took)
		assert.Check(t, all < 40<<10**scaleHosts, "%d bytes", all)
	})
}

// A configuration adds 1,400 routes, then 200 of them change three times a second. Every host
// must put each version into effect within two seconds, which fails if one host of a zone sends
// the routes in full to all others there.
func TestLargeConfigurationsReachAllOverSlowLinks(t *testing.T) {
	withSlowLinks(t, func(fl *fleet, tr *traffic) {
		time.Sleep(5 * time.Second)
		tr.reset()
		fl.record.PutConfig(largeConfig(2, 1500))
		took := fl.await(nil, func(h *host) bool { return h.version() == 2 })
		all, busiest := tr.reset()
		t.Logf("1400 added routes known after %s, %d kB, busiest host %d kB", took, all>>10, busiest>>10)
		assert.Check(t, took < time.Second, "in force after %s", took)
		assert.Check(t, busiest < 1<<20, "%d bytes at one host", busiest)
		for v := range uint64(12) {
			fl.record.PutConfig(largeConfig(3+v, 1500))
			time.Sleep(330 * time.Millisecond)
			assert.Check(t, fl.hosts[1].version() >= 2+v)
		}
		took = fl.await(nil, func(h *host) bool { return h.version() == 14 })
		assert.Check(t, took < time.Second, "in force after %s", took)
	})
}

// Half of the hosts lose power and restart while the others serve. Each must have the whole
// state within half a second, and no host may have to serve all of them.
func TestHalfTheHostsStartAgainOverSlowLinks(t *testing.T) {
	withSlowLinks(t, func(fl *fleet, tr *traffic) {
		fl.record.PutConfig(largeConfig(2, 1500))
		time.Sleep(5 * time.Second)
		half := len(fl.hosts) / 2
		for _, h := range fl.hosts[:half] {
			h.stop()
		}
		fl.hosts = fl.hosts[half:]
		time.Sleep(time.Second)
		tr.reset()
		for i := range half {
			fl.start(i, true)
		}
		last := targetsEach**scaleHosts - 1
		took := fl.await(nil, func(h *host) bool { return h.version() == 2 && h.routesTo(last) })
		all, busiest := tr.reset()
		t.Logf("%d hosts back after %s, %d kB, busiest host %d kB", half, took, all>>10, busiest>>10)
		assert.Check(t, took < 500*time.Millisecond, "known after %s", took)
	})
}

// All hosts of an availability zone except the seeds are unreachable, and nobody has noticed
// yet. A host that starts there is referred to them by the seeds; it must not wait for each in
// turn, since callers are waiting.
func TestStartIsReferredToUnreachableHosts(t *testing.T) {
	withFleet(t, 40, func(fl *fleet) {
		const next = 50
		start := time.Now()
		h := fl.start(next, true)
		for i, other := range fl.hosts {
			if i >= len(fl.seeds) && other != h && zone(i) == zone(next) {
				fl.isolate(other)
			}
		}
		for !h.routesTo(0) && time.Since(start) < 5*time.Second {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(start)
		t.Logf("state complete after %s", took)
		assert.Check(t, took < 600*time.Millisecond)
	})
}

package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// routed is a configuration with routes of one name, and of one host and prefix.
func routed(version uint64, timeout time.Duration, names ...string) *routing.Config {
	c := config(version)
	for _, name := range append(names, "last") {
		c.Routes = append(c.Routes, routing.Route{
			Name: name, Host: "h", Prefix: "/bids/", Kind: routing.Safe, Timeout: timeout, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: service, Weight: 1}},
		})
	}
	return c
}

// goesBy reports whether a host's table says what a configuration does.
func (h *host) goesBy(c *routing.Config) bool {
	table := h.board.Routes.Load()
	return table != nil && table.Config.Digest() == c.Digest()
}

// Configurations in which names, and pairs of host and prefix, stand twice follow each
// other. A caller must be led to the same route by hosts that read them whole and by those
// that were told what changed.
func TestAllHostsGoByTheSameRoutes(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for i, c := range []*routing.Config{
			routed(2, time.Second, "r", "r"),
			routed(3, time.Second, "r"),
			routed(5, time.Second, "", "r", "", "x"),
			routed(6, 2*time.Second, "x", ""),
			routed(9, 2*time.Second, "r", "x", "x"),
		} {
			fl.record.Configure(c)
			took := fl.await(nil, func(h *host) bool { return h.goesBy(c) })
			assert.Check(t, took < 200*time.Millisecond, "step %d: in force after %s", i, took)
		}
		for _, h := range fl.hosts {
			assert.Equal(t, h.c.count.refusedConfigs.Value(), int64(0))
		}
	})
}

// A caller is told 404 by one host alone, for the rest of the day: it has another
// configuration of a version than all others, without a route that does not change any
// more. What changes next does not lead it where the others are; it notices, asks, and is
// told the whole in time.
func TestHostWithAnotherConfigurationOfAVersionIsToldTheWhole(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		var odd *host
		for _, h := range fl.hosts {
			if !h.watches() {
				odd = h
			}
		}
		other := routed(2, time.Second)
		odd.c.mu.Lock()
		odd.c.merge(time.Now(), directory.Changes{Config: other}, ports.HostID("other"))
		odd.c.mu.Unlock()
		fl.record.Configure(routed(2, time.Second, "kept"))
		took := fl.await(nil, func(h *host) bool { return h.version() == 2 })
		assert.Check(t, took < bound, "%s", took)
		time.Sleep(time.Second)
		assert.Check(t, odd.goesBy(other), "heartbeats of one version are not compared any further")
		next := routed(3, time.Second, "kept", "more")
		fl.record.Configure(next)
		took = fl.await(nil, func(h *host) bool { return h.goesBy(next) })
		assert.Check(t, took < bound/2, "in force after %s", took)
		assert.Check(t, odd.c.count.refusedConfigs.Value() > 0)
		t.Logf("told the whole after %s", took)
	})
}

package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// configWithRoutes returns a configuration with a route of each name, followed by one named
// "last". All have the same host and prefix.
func configWithRoutes(version uint64, timeout time.Duration, names ...string) *routing.Config {
	c := config(version)
	for _, name := range append(names, "last") {
		c.Routes = append(c.Routes, routing.Route{
			Name: name, Host: "h", Prefix: "/bids/", Kind: routing.Safe, Timeout: timeout, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: service, Weight: 1}},
		})
	}
	return c
}

// usesConfig reports whether the host's routing table is that of a configuration.
func (h *host) usesConfig(c *routing.Config) bool {
	table := h.board.Routes.Load()
	return table != nil && table.Config.Digest() == c.Digest()
}

// Guards against hosts that route differently depending on whether they read a configuration in
// full or applied a delta. The configurations repeat names and pairs of host and prefix.
func TestAllHostsGoByTheSameRoutes(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for i, c := range []*routing.Config{
			configWithRoutes(2, time.Second, "r", "r"),
			configWithRoutes(3, time.Second, "r"),
			configWithRoutes(5, time.Second, "", "r", "", "x"),
			configWithRoutes(6, 2*time.Second, "x", ""),
			configWithRoutes(9, 2*time.Second, "r", "x", "x"),
		} {
			fl.record.PutConfig(c)
			took := fl.await(nil, func(h *host) bool { return h.usesConfig(c) })
			assert.Check(t, took < 200*time.Millisecond, "step %d: in force after %s", i, took)
		}
		for _, h := range fl.hosts {
			assert.Equal(t, h.c.count.refusedConfigs.Value(), int64(0))
		}
	})
}

// Guards against one host answering 404 for good because it holds another configuration under a
// version than all others, without a route that no later version changes. The delta to the next
// version does not match on that host, and it has to fetch the whole configuration.
func TestHostWithAnotherConfigurationOfAVersionIsToldTheWhole(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		var divergent *host
		for _, h := range fl.hosts {
			if !h.watches() {
				divergent = h
			}
		}
		other := configWithRoutes(2, time.Second)
		divergent.c.mu.Lock()
		divergent.c.merge(time.Now(), directory.Changes{Config: other}, ports.HostID("other"))
		divergent.c.mu.Unlock()
		fl.record.PutConfig(configWithRoutes(2, time.Second, "kept"))
		took := fl.await(nil, func(h *host) bool { return h.version() == 2 })
		assert.Check(t, took < bound, "%s", took)
		time.Sleep(time.Second)
		assert.Check(t, divergent.usesConfig(other), "heartbeats with equal versions are not compared further")
		next := configWithRoutes(3, time.Second, "kept", "more")
		fl.record.PutConfig(next)
		took = fl.await(nil, func(h *host) bool { return h.usesConfig(next) })
		assert.Check(t, took < bound/2, "in force after %s", took)
		assert.Check(t, divergent.c.count.refusedConfigs.Value() > 0)
		t.Logf("whole configuration received after %s", took)
	})
}

// Guards against refusing callers of a new service for want of a target: a configuration must
// not reach a host before the targets that were listed for it.
func TestConfigurationDoesNotOvertakeTargets(t *testing.T) {
	for _, n := range []int{7, 40} {
		withFleet(t, n, func(fl *fleet) {
			fl.record.Put(entryOf(0, false)) // the watchers gather what follows it
			time.Sleep(20 * time.Millisecond)
			e := entryOf(20, false)
			e.Service = "new"
			fl.record.Put(e)
			next := config(2)
			next.Services = append(next.Services, routing.Service{Name: e.Service})
			fl.record.PutConfig(next)
			begin := time.Now()
			fl.await(nil, func(h *host) bool {
				version := h.version() // before the targets, which come first
				listed := len(h.board.Targets.Load().ByService[blackboard.ServiceKey{Workspace: routing.Workspace, Service: e.Service}]) > 0
				assert.Check(t, version < 2 || listed, "%d hosts: %s knows no target %s after the configuration", n, h.addr, time.Since(begin))
				return version == 2
			})
			assert.Check(t, time.Since(begin) < bound)
		})
	}
}

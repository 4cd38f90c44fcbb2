package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/routing"
)

// configOf returns a configuration with a route to a service, after further routes of the same
// host.
func configOf(version uint64, service string, more ...routing.Route) *routing.Config {
	return &routing.Config{
		Version:  version,
		Routes:   append(more, routeOf("r", service)),
		Services: []routing.Service{{Name: "a"}, {Name: "b"}},
	}
}

func routeOf(name, service string) routing.Route {
	return routing.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.Safe, Timeout: time.Second, MaxAttempts: 1,
		Split: []routing.WeightedService{{Service: service, Weight: 1}},
	}
}

func deltaOf(from, to *routing.Config) Changes {
	d := routing.Diff(from, to)
	return Changes{Delta: &d}
}

// Guards against putting a configuration into effect that fails the checks, after a peer with a
// program that lacks a check forwarded it: callers would get a 404, or be routed to a service
// that is gone. The last good configuration stays, as it does for such a document in the store.
func TestWholeConfigurationThatIsWrongIsNotTaken(t *testing.T) {
	s := NewState()
	good := configOf(3, "a")
	s.Merge(now, Changes{Config: good})
	assert.Check(t, !s.Merge(now, Changes{Config: configOf(4, "missing")}))
	assert.Equal(t, s.Config(), good)
	assert.Equal(t, s.RefusedConfigs(), int64(1))
	assert.Check(t, s.Merge(now, Changes{Config: configOf(5, "b")}))
}

// The operator's API gives each document its own version. If two nevertheless share one, a host
// must keep the first: after a replacement the version would mean different things on different
// hosts for as long as both are forwarded.
func TestAnotherConfigurationOfTheSameVersionIsPassedOver(t *testing.T) {
	s := NewState()
	first := configOf(3, "a")
	s.Merge(now, Changes{Config: first})
	assert.Check(t, !s.Merge(now, Changes{Config: configOf(3, "b")}))
	assert.Check(t, !s.Merge(now, deltaOf(configOf(3, "b"), configOf(3, "a"))))
	assert.Equal(t, s.Config(), first)
	assert.Check(t, s.Snapshot(now, 3, nil).Config == nil, "sent to a host that has this version")
}

// Guards against losing an added route to a stale read of the store, or to a delta computed from
// one.
func TestOlderConfigurationAfterANewerOneIsPassedOver(t *testing.T) {
	older, newer := configOf(3, "a"), configOf(7, "b", routeOf("added", "a"))
	for _, late := range []Changes{
		{Revision: 20, Config: older},
		{Revision: 20, Config: configOf(6, "a")},
		deltaOf(older, configOf(6, "a")),
		deltaOf(older, newer),
		deltaOf(newer, configOf(6, "a")),
	} {
		s := NewState()
		s.Merge(now, Changes{Revision: 10, Config: older})
		assert.Check(t, s.Merge(now, deltaOf(older, newer)))
		previous := s.Config()
		assert.Check(t, !s.Merge(now, late))
		assert.Equal(t, s.Config(), previous)
		assert.Equal(t, s.RefusedConfigs(), int64(0))
	}
}

// Guards against a host that answers 404 alone: it read another document under the version at
// which a delta begins, without a route that the delta does not contain. It must refuse the
// delta, which leaves it visibly behind, and the whole configuration then repairs it.
func TestDeltaWithADifferentResultIsRepairedByASnapshot(t *testing.T) {
	ahead, divergent := NewState(), NewState()
	from, to := configOf(3, "a", routeOf("kept", "a")), configOf(4, "b", routeOf("kept", "a"))
	ahead.Merge(now, Changes{Config: from})
	divergent.Merge(now, Changes{Config: configOf(3, "a")})
	step := deltaOf(from, to)
	assert.Check(t, ahead.Merge(now, step))
	assert.Check(t, !divergent.Merge(now, step))
	assert.Equal(t, divergent.Config().Version, uint64(3))
	assert.Equal(t, divergent.RefusedConfigs(), int64(1))
	assert.Check(t, divergent.Merge(now, ahead.Snapshot(now, divergent.Config().Version, divergent.Buckets())))
	assert.Equal(t, divergent.Config().Digest(), to.Digest())
}

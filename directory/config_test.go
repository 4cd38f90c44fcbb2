package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/routing"
)

// configOf is a configuration with one route to a service, and more of the same host.
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

// A caller is told 404 of a route, or led to a service that is gone. A host passed on a
// configuration that can not be put in force, whole: its program knows no check that this
// one has. The last good one stays, as if the store had such a document.
func TestWholeConfigurationThatIsWrongIsNotTaken(t *testing.T) {
	s := NewState()
	good := configOf(3, "a")
	s.Merge(now, Changes{Config: good})
	assert.Check(t, !s.Merge(now, Changes{Config: configOf(4, "missing")}))
	assert.Equal(t, s.Config(), good)
	assert.Equal(t, s.RefusedConfigs(), int64(1))
	assert.Check(t, s.Merge(now, Changes{Config: configOf(5, "b")}))
}

// The operator's API gives each document a version of its own. Should two bear the same
// all the same, a host keeps the one that it has: to trade it would have the same version
// mean this here and that there for as long as both are passed on.
func TestAnotherConfigurationOfTheSameVersionIsPassedOver(t *testing.T) {
	s := NewState()
	first := configOf(3, "a")
	s.Merge(now, Changes{Config: first})
	assert.Check(t, !s.Merge(now, Changes{Config: configOf(3, "b")}))
	assert.Check(t, !s.Merge(now, deltaOf(configOf(3, "b"), configOf(3, "a"))))
	assert.Equal(t, s.Config(), first)
	assert.Check(t, s.Whole(now, 3, nil).Config == nil, "told to a host that has this version")
}

// A reading of the store that is older than what is known, and a change that was made of
// such a reading, lead nowhere: a route that was added is not dropped again.
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
		had := s.Config()
		assert.Check(t, !s.Merge(now, late))
		assert.Equal(t, s.Config(), had)
		assert.Equal(t, s.RefusedConfigs(), int64(0))
	}
}

// A caller is told 404 by one host alone. It read another document of the version at which
// a change begins, without a route that did not change. It stays where it is, which shows
// it behind, and the whole brings it up to date.
func TestDeltaThatLeadsElsewhereIsMadeGoodByTheWhole(t *testing.T) {
	ahead, odd := NewState(), NewState()
	from, to := configOf(3, "a", routeOf("kept", "a")), configOf(4, "b", routeOf("kept", "a"))
	ahead.Merge(now, Changes{Config: from})
	odd.Merge(now, Changes{Config: configOf(3, "a")})
	step := deltaOf(from, to)
	assert.Check(t, ahead.Merge(now, step))
	assert.Check(t, !odd.Merge(now, step))
	assert.Equal(t, odd.Config().Version, uint64(3))
	assert.Equal(t, odd.RefusedConfigs(), int64(1))
	assert.Check(t, odd.Merge(now, ahead.Whole(now, odd.Config().Version, odd.Buckets())))
	assert.Equal(t, odd.Config().Digest(), to.Digest())
}

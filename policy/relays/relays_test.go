package relays

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

var noon = time.Unix(1000, 0)

// hosts returns n hosts in each of the given zones, named zone-number.
func hosts(n int, zones ...string) (list []Host) {
	for _, z := range zones {
		for i := range n {
			list = append(list, Host{ID: ports.HostID(fmt.Sprintf("%s-%d", z, i)), Zone: z})
		}
	}
	return list
}

func never(ports.HostID) time.Time { return time.Time{} }

func TestOwnZoneComesFirstAndAnotherSecond(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		ids := Choose(noon, rng, hosts(4, "a", "b", "c"), Query{Zone: "a", TargetZone: "c", Failed: never})
		assert.Equal(t, len(ids), MaxTries)
		assert.Equal(t, ids[0][:1], ports.HostID("a"))
		assert.Equal(t, ids[1][:1], ports.HostID("c"), "bytes cross zones once")
		assert.Equal(t, ids[2][:1], ports.HostID("a"))
	}
}

// Guards against a zone that is cut off as a whole and whose hosts ask only each other.
func TestHostsOfAZoneThatIsCutOffAskThoseOfOtherZones(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	failed := func(id ports.HostID) time.Time {
		if id[0] == 'a' {
			return noon.Add(-time.Second)
		}
		return time.Time{}
	}
	for range 50 {
		ids := Choose(noon, rng, hosts(4, "a", "b"), Query{Zone: "a", TargetZone: "a", Failed: failed})
		assert.Equal(t, ids[0][:1], ports.HostID("b"))
		assert.Equal(t, ids[1][:1], ports.HostID("b"))
	}
	later := noon.Add(FailureMemory)
	ids := Choose(later, rng, hosts(4, "a", "b"), Query{Zone: "a", TargetZone: "a", Failed: failed})
	assert.Equal(t, ids[0][:1], ports.HostID("a"), "they are tried again")
}

func TestHostsThatFailedAreTriedIfThereAreNoOthers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	failed := func(ports.HostID) time.Time { return noon }
	assert.Equal(t, len(Choose(noon, rng, hosts(2, "a"), Query{Zone: "a", Failed: failed})), 2)
	assert.Equal(t, len(Choose(noon, rng, nil, Query{Zone: "a", Failed: failed})), 0)
}

// Guards against one host that carries the connections of all that are cut off.
func TestConnectionsSpreadOverAllHosts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	count := make(map[ports.HostID]int)
	const rounds = 4000
	for range rounds {
		count[Choose(noon, rng, hosts(4, "a", "b"), Query{Zone: "a", Failed: never})[0]]++
	}
	for id, n := range count {
		assert.Check(t, n < rounds*2/4, "%s: %d of %d", id, n, rounds)
	}
	assert.Equal(t, len(count), 4)
}

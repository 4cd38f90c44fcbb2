package watchers

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// stagger is the time between the turns of two hosts to take over, long
	// enough for the heartbeat of the first to reach the second.
	stagger = 60 * time.Millisecond
	// maxStagger is how long hosts take their turns one by one, and then once more how
	// long those that are left take theirs, lateStagger apart.
	//
	// Hosts that all waited for one last turn would watch all at once where heartbeats are late. A late
	// turn is only reached if nobody before could read the store.
	maxStagger  = 800 * time.Millisecond
	lateStagger = 8 * time.Millisecond
	// outageStagger is the time between two turns while the store is out for all: each is
	// a call in vain.
	outageStagger = 400 * time.Millisecond
)

// IsFirst reports whether a host has its turn before all of the others.
func IsFirst(self ports.HostID, others []ports.HostID) bool { return Rank(self, others) == 0 }

// Rank is how many of the others have their turn before a host.
func Rank(self ports.HostID, others []ports.HostID) int {
	ahead := 0
	for _, id := range others {
		if before(id, self) {
			ahead++
		}
	}
	return ahead
}

// turn returns how long this host lets others go first.
func (d *Decider) turn(hosts, fresh []ports.HostID, outage bool) time.Duration {
	ahead := 0
	for _, id := range hosts {
		if id != d.self && !slices.Contains(fresh, id) && before(id, d.self) {
			ahead++
		}
	}
	if outage {
		return time.Duration(ahead) * outageStagger
	}
	early := time.Duration(ahead) * stagger
	if early <= maxStagger {
		return early
	}
	late := time.Duration(ahead)*lateStagger - maxStagger*lateStagger/stagger
	return maxStagger + min(late, maxStagger)
}

// relayChoice is how many hosts of an availability zone pass changes on by turns. One
// alone would lose all changes for as long as its silence is not noticed; with all of them
// every host would keep connections to every other of its zone.
const relayChoice = 3

// RelayOrder orders the hosts of an availability zone by who is to pass a change on there.
func RelayOrder(rng *rand.Rand, hosts []ports.HostID) []ports.HostID {
	slices.SortFunc(hosts, func(a, b ports.HostID) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	first := hosts[:min(relayChoice, len(hosts))]
	rng.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	return hosts
}

// before is the order in which hosts take their turns, the same on all of them.
func before(a, b ports.HostID) bool {
	ha, hb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	if ha != hb {
		return ha < hb
	}
	return a < b
}

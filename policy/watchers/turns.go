package watchers

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// turnInterval is the time between the turns of two hosts to take over, long enough for the
	// heartbeat of the first to reach the second.
	turnInterval = 60 * time.Millisecond
	// earlyTurns is the period in which hosts take turns one at a time, turnInterval apart. The
	// remaining hosts take theirs in a second period of the same length, lateTurnInterval apart.
	//
	// If all remaining hosts shared one last turn, all would start to watch at once when
	// heartbeats are delayed. A late turn is only reached if no earlier host could read the
	// store.
	earlyTurns       = 800 * time.Millisecond
	lateTurnInterval = 8 * time.Millisecond
	// outageTurnInterval is the time between two turns while the store is down for all hosts,
	// when each turn is a wasted call.
	outageTurnInterval = 400 * time.Millisecond
)

// IsFirst reports whether a host's turn is before those of all others.
func IsFirst(self ports.HostID, others []ports.HostID) bool { return Rank(self, others) == 0 }

// Rank returns how many of the others have their turn before a host.
func Rank(self ports.HostID, others []ports.HostID) int {
	ahead := 0
	for _, id := range others {
		if before(id, self) {
			ahead++
		}
	}
	return ahead
}

// turn returns how long this host waits for hosts with earlier turns.
func (d *Decider) turn(hosts, fresh []ports.HostID, outage bool) time.Duration {
	ahead := 0
	for _, id := range hosts {
		if id != d.self && !slices.Contains(fresh, id) && before(id, d.self) {
			ahead++
		}
	}
	if outage {
		return time.Duration(ahead) * outageTurnInterval
	}
	early := time.Duration(ahead) * turnInterval
	if early <= earlyTurns {
		return early
	}
	late := time.Duration(ahead)*lateTurnInterval - earlyTurns*lateTurnInterval/turnInterval
	return earlyTurns + min(late, earlyTurns)
}

// relayCandidates is the number of hosts of an availability zone that relay changes alternately.
// A single one would lose all changes until its failure is detected; with all of them, every host
// would need connections to every other host of its zone.
const relayCandidates = 3

// RelayOrder sorts the hosts of an availability zone, in place, by their precedence for relaying
// a change there. The first few are shuffled.
func RelayOrder(rng *rand.Rand, hosts []ports.HostID) []ports.HostID {
	slices.SortFunc(hosts, func(a, b ports.HostID) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	first := hosts[:min(relayCandidates, len(hosts))]
	rng.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	return hosts
}

// before defines the order of the turns, which is the same on all hosts.
func before(a, b ports.HostID) bool {
	ha, hb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	if ha != hb {
		return ha < hb
	}
	return a < b
}

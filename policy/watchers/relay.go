package watchers

import (
	"slices"
	"strconv"

	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// directBytes is the number of bytes of a change that one host sends by itself, which
	// occupies the slowest links in use for a moment. Beyond it other hosts relay.
	directBytes = 64 << 10
	// fanOut is the number of hosts to which each host sends a large change. A step takes as long
	// as that many copies.
	fanOut = 4
	// RelayTrees is the number of trees by which changes are relayed in turn. With a single one, a
	// host that does not relay would keep all changes from the same others.
	RelayTrees = 3
)

// NeedsRelays reports whether a change of size bytes to a number of hosts is large enough to be
// relayed by some of them.
func NeedsRelays(hosts, size int) bool { return hosts > fanOut && hosts*size > directBytes }

// RelayGroups divides the hosts that are to get a change of size bytes into groups. The first
// host of each group gets the change and relays it to the rest of its group in the same way. It
// returns nil if the sender should send to each host directly.
//
// For large changes to many hosts, this makes the time until the last host has it grow with the
// logarithm of their number, and likewise the maximum load of a link. If a relaying host fails,
// its group lacks the change until the next heartbeat reveals that.
//
// The groups of a tree are always the same and hardly change as hosts come and go. With groups drawn
// anew for each change, every host opens connections to all others over time, which takes small
// hosts most of their processor time and memory in proportion to the square of their number.
func RelayGroups(tree int, ids []ports.HostID, size int) [][]ports.HostID {
	if !NeedsRelays(len(ids), size) {
		return nil
	}
	key := "relay " + strconv.Itoa(tree)
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b ports.HostID) int { return compareScores(key, a, b) })
	heads, rest := ranked[:fanOut], ranked[fanOut:]
	groups := make([][]ports.HostID, fanOut)
	keys := make([]string, fanOut)
	for i, head := range heads {
		groups[i] = append(groups[i], head)
		keys[i] = key + " " + string(head)
	}
	most := 1 + (len(rest)+fanOut-1)/fanOut
	for _, id := range rest {
		i := groupOf(id, keys, func(i int) bool { return len(groups[i]) < most })
		groups[i] = append(groups[i], id)
	}
	return groups
}

// groupOf returns the index of the group with room for whose key a host has the highest score.
func groupOf(id ports.HostID, keys []string, hasRoom func(int) bool) int {
	best, top := 0, uint64(0)
	for i, key := range keys {
		if s := rendezvous.Score(key, id); s >= top && hasRoom(i) {
			best, top = i, s
		}
	}
	return best
}

// compareScores orders hosts by their scores for a key, the highest first.
func compareScores(key string, a, b ports.HostID) int {
	sa, sb := rendezvous.Score(key, a), rendezvous.Score(key, b)
	switch {
	case sa > sb:
		return -1
	case sa < sb:
		return 1
	case a < b:
		return -1
	default:
		return 1
	}
}

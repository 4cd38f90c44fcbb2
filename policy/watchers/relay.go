package watchers

import "github.com/cactusproxy/cactusproxy/ports"

const (
	// directBytes is the number of bytes of a change that one host sends by itself, which
	// occupies the slowest links in use for a moment. Beyond it other hosts relay.
	directBytes = 64 << 10
	// fanOut is the number of hosts to which each host sends a large change. A step takes as long
	// as that many copies.
	fanOut = 4
)

// RelayGroups divides the hosts that are to get a change of size bytes into groups. The first
// host of each group gets the change and relays it to the rest of its group in the same way. It
// returns nil if the sender should send to each host directly.
//
// For large changes to many hosts, this makes the time until the last host has it grow with the
// logarithm of their number, and likewise the maximum load of a link. If a relaying host fails,
// its group lacks the change until the next heartbeat reveals that.
func RelayGroups(ids []ports.HostID, size int) [][]ports.HostID {
	if len(ids) <= fanOut || len(ids)*size <= directBytes {
		return nil
	}
	groups := make([][]ports.HostID, fanOut)
	for i := range groups {
		groups[i] = ids[i*len(ids)/fanOut : (i+1)*len(ids)/fanOut]
	}
	return groups
}

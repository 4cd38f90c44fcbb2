package watchers

import "github.com/cactusproxy/cactusproxy/ports"

const (
	// flatBytes is what one host sends of a change by itself: a moment of the slowest links
	// in use. Beyond it others help.
	flatBytes = 64 << 10
	// fanOut is how many hosts each host sends a large change to. A step is as long as so
	// many copies take.
	fanOut = 4
)

// RelayGroups divides the hosts that are to get a change of some size, in bytes, into groups:
// the first of each gets it, and passes it on to the others of its group in the same way.
// It returns nil if the sender does better to send to each host itself.
//
// It answers large changes at many hosts: the time until the last host knows grows with
// the logarithm of their number and not with the number, and so does the most that one
// link carries. A host that is lost on the way leaves its group without the change, until
// the next heartbeat shows it.
func RelayGroups(ids []ports.HostID, size int) [][]ports.HostID {
	if len(ids) <= fanOut || len(ids)*size <= flatBytes {
		return nil
	}
	groups := make([][]ports.HostID, fanOut)
	for i := range groups {
		groups[i] = ids[i*len(ids)/fanOut : (i+1)*len(ids)/fanOut]
	}
	return groups
}

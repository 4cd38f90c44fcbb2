package watchers

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// RemoveAfter is how long a watcher must have failed to reach a host before the host is removed
// from the list of hosts. A planned restart takes up to some 10 s, and 5,100 of them a day must
// not change the list; until it is removed, a failed host counts in the even share of every other
// host.
const RemoveAfter = 30 * time.Second

// HostsToRemove returns the hosts that a watcher removes from the list: those that it has failed
// to reach for RemoveAfter, unless half of all hosts or more are unreachable.
//
// If the smaller side of a partition removed the larger one, no host would know any host of the
// other side once the partition has healed.
func HostsToRemove(self ports.HostID, hosts []ports.HostID, unreachableFor func(ports.HostID) time.Duration) []ports.HostID {
	var unreachable, removed []ports.HostID
	for _, id := range hosts {
		if id == self {
			continue
		}
		d := unreachableFor(id)
		if d > 0 {
			unreachable = append(unreachable, id)
		}
		if d >= RemoveAfter {
			removed = append(removed, id)
		}
	}
	if 2*len(unreachable) >= len(hosts) {
		return nil
	}
	return removed
}

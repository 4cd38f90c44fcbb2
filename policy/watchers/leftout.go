package watchers

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// RemoveAfter is how long a host must be out of a watcher's reach before it is taken off
// the list of hosts. A planned restart takes up to some 10 s, and 5,100 a day of them must
// not move the list; a host that failed for good counts in every other host's even share
// until then.
const RemoveAfter = 30 * time.Second

// HostsToRemove returns the hosts that a watcher takes off the list: those that it has tried in
// vain for long, unless they are half of all or more.
//
// Were the smaller side of a cut to take off the greater, nobody would know of anybody on the other
// side once it is over.
func HostsToRemove(self ports.HostID, hosts []ports.HostID, unreachableFor func(ports.HostID) time.Duration) []ports.HostID {
	var away, lost []ports.HostID
	for _, id := range hosts {
		if id == self {
			continue
		}
		d := unreachableFor(id)
		if d > 0 {
			away = append(away, id)
		}
		if d >= RemoveAfter {
			lost = append(lost, id)
		}
	}
	if 2*len(away) >= len(hosts) {
		return nil
	}
	return lost
}

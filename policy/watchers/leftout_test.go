package watchers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Of ten hosts some can not be reached. Those that were away for long are left out while
// more than half of all can be reached; otherwise it may well be this host that is cut off.
func TestLeftOutWhileMostAreReached(t *testing.T) {
	all := hosts(10)
	for away, want := range []int{0, 1, 2, 3, 4, 0, 0, 0, 0, 0} {
		lost := HostsToRemove(all[9], all, func(id ports.HostID) time.Duration {
			for i := range away {
				if id == all[i] {
					return RemoveAfter
				}
			}
			return 0
		})
		assert.Equal(t, len(lost), want, "%d away", away)
	}
	short := func(ports.HostID) time.Duration { return RemoveAfter - time.Second }
	assert.Equal(t, len(HostsToRemove(all[9], all[7:], short)), 0)
}

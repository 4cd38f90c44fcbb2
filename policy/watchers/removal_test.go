package watchers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Some of ten hosts are unreachable. Those that were for long are removed while more than half of
// all are reachable; otherwise this host itself is probably cut off.
func TestHostsAreRemovedWhileMostAreReachable(t *testing.T) {
	all := hosts(10)
	for unreachable, want := range []int{0, 1, 2, 3, 4, 0, 0, 0, 0, 0} {
		lost := HostsToRemove(all[9], all, func(id ports.HostID) time.Duration {
			for i := range unreachable {
				if id == all[i] {
					return RemoveAfter
				}
			}
			return 0
		})
		assert.Equal(t, len(lost), want, "%d unreachable", unreachable)
	}
	short := func(ports.HostID) time.Duration { return RemoveAfter - time.Second }
	assert.Equal(t, len(HostsToRemove(all[9], all[7:], short)), 0)
}

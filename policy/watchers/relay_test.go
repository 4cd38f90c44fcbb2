package watchers

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// simulate simulates the relaying of a change. It returns how often each host got it, the number
// of steps, and the largest number of copies that one host sent.
func simulate(ids []ports.HostID, size int) (got map[ports.HostID]int, depth, copies int) {
	got = make(map[ports.HostID]int)
	groups := RelayGroups(ids, size)
	if groups == nil {
		for _, id := range ids {
			got[id]++
		}
		return got, min(1, len(ids)), len(ids)
	}
	copies = len(groups)
	for _, group := range groups {
		got[group[0]]++
		below, d, c := simulate(group[1:], size)
		for id, n := range below {
			got[id] += n
		}
		depth, copies = max(depth, 1+d), max(copies, c)
	}
	return got, depth, copies
}

// Every host gets a change exactly once: a small one directly from the sender, a large one in few
// steps with few copies sent by each host.
func TestRelayGroupsReachEachHostOnce(t *testing.T) {
	for _, n := range []int{0, 1, 3, 4, 5, 22, 75, 750} {
		for _, size := range []int{150, 20 << 10, 40 << 10} {
			got, depth, copies := simulate(hosts(n), size)
			assert.Equal(t, len(got), n)
			for id, times := range got {
				assert.Equal(t, times, 1, "%s", id)
			}
			assert.Check(t, copies <= fanOut || copies*size <= directBytes, "%d copies of %d bytes", copies, size)
			assert.Check(t, depth <= 5, "%d steps to %d hosts", depth, n)
		}
	}
}

package peer

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// maxIdleSessionBytes is the most memory that one end of an idle connection may hold. A host
// with connections to and from 500 others then holds 16 MB for them, half of what the
// busiest host may use in total.
const maxIdleSessionBytes = 16 << 10

// Every host connects to the seeds and to the hosts that watch the store, and those send
// large messages to all others. Buffers that a connection retained while idle would add up
// over all hosts until the platform kills the process for its memory use.
func TestIdleConnectionMemory(t *testing.T) {
	const hosts = 64
	hub := newTestNode(t, "hub", nil)
	nodes := make([]*Node, hosts)
	all := []ports.Host{hostEntry(hub)}
	for i := range nodes {
		nodes[i] = newTestNode(t, HostID(fmt.Sprintf("host-%02d", i)), nil)
		all = append(all, hostEntry(nodes[i]))
		nodes[i].SetPeers([]ports.Host{hostEntry(hub)})
	}
	hub.SetPeers(all)
	before := liveMemory()
	list := make([]byte, 100<<10)
	for _, n := range nodes {
		_, err := n.Call(t.Context(), hub.Self(), kindEcho, list)
		assert.NilError(t, err)
		_, err = hub.Call(t.Context(), n.Self(), kindEcho, list)
		assert.NilError(t, err)
	}
	const ends = 2 * 2 * hosts
	each := (liveMemory() - before) / ends
	assert.Check(t, each <= maxIdleSessionBytes, "one end of a connection holds %d bytes, want at most %d", each, maxIdleSessionBytes)
	runtime.KeepAlive(nodes)
}

// liveMemory returns the bytes of live heap objects and of goroutine stacks.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC() // sync.Pool keeps its items for one cycle
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

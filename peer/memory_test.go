package peer

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// maxRestingSession is the most that one end of an unused connection may hold, in
// bytes. A host that all of 500 others connect to, and that connects to all of them,
// then holds 16 MB for it, half of what the busiest host may take in all.
const maxRestingSession = 16 << 10

// The platform ends a host's process for its memory, and its callers lose their
// requests. Every host connects to the seeds and to the hosts that watch the store, and
// those send large messages to all others: what a connection keeps when nothing is sent
// on it is held once for each host.
func TestRestingConnectionsHoldLittle(t *testing.T) {
	const hosts = 64
	hub := newTestNode(t, "hub", nil)
	nodes := make([]*Node, hosts)
	all := []ports.Host{hostOf(hub)}
	for i := range nodes {
		nodes[i] = newTestNode(t, HostID(fmt.Sprintf("host-%02d", i)), nil)
		all = append(all, hostOf(nodes[i]))
		nodes[i].SetPeers([]ports.Host{hostOf(hub)})
	}
	hub.SetPeers(all)
	before := memoryInUse()
	list := make([]byte, 100<<10)
	for _, n := range nodes {
		_, err := n.Call(t.Context(), hub.Self(), kindEcho, list)
		assert.NilError(t, err)
		_, err = hub.Call(t.Context(), n.Self(), kindEcho, list)
		assert.NilError(t, err)
	}
	const ends = 2 * 2 * hosts
	each := (memoryInUse() - before) / ends
	assert.Check(t, each <= maxRestingSession, "an end of a connection holds %d bytes, at most %d are allowed", each, maxRestingSession)
	runtime.KeepAlive(nodes)
}

// memoryInUse returns the bytes of live objects and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC() // the first leaves what pools hold
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

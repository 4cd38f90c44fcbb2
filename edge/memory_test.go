package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	fleetHosts   = 984
	fleetTargets = 10_000
	// maxFleetMemory bounds the memory of a host that neither watches the store nor forwards
	// much, in bytes. It leaves as much again for garbage between collections.
	maxFleetMemory = 24 << 20
)

// Guards against running out of memory on a small host of a large fleet: every host holds state
// for all hosts and targets, so that each byte per target counts ten thousand times.
func TestMemoryOfAHostInALargeFleet(t *testing.T) {
	l := newLocalCluster(t, 0)
	routes := l.routes()
	for i := range 4 {
		service := fmt.Sprint("service", i)
		routes = append(routes, standin.Route{
			Name: service, Host: hostName, Prefix: "/" + service + "/", Type: "safe", Service: service, Timeout: "2s", MaxAttempts: 2,
		})
	}
	l.store.Put("op", "config", standin.Config(2, routes...))
	for i := range fleetTargets {
		tg := &standin.Target{ID: fmt.Sprintf("i-%08x", i), Slots: 2, StartMillis: 1_790_000_000_000}
		l.store.Put("servers", tg.ID, tg.Entry(fmt.Sprint("service", max(0, i%8-4)), fmt.Sprintf("127.64.%d.%d:8080", i/250, 1+i%250), fmt.Sprint("zone-", i%5), "ready"))
	}
	var hosts []directory.Host
	for i := range fleetHosts {
		hosts = append(hosts, directory.Host{Addr: fmt.Sprintf("127.99.%d.%d:9", i/250, 1+i%250), Zone: fmt.Sprint("zone-", i%5), Start: 1})
	}
	list, err := json.Marshal(hosts)
	assert.NilError(t, err)
	l.store.Put("cactusproxy_hosts", "hosts", list)
	l.seeds = []string{"127.99.0.1:9"}
	before := memoryInUse()
	d := l.start()
	l.await("all hosts are known", func() bool { return len(d.Board().Members.Load().Members) >= fleetHosts })
	for i := range 4 {
		l.send(d, http.MethodGet, fmt.Sprintf("/service%d/", i), "")
	}
	held := memoryInUse() - before
	t.Logf("%d kB", held>>10)
	assert.Check(t, held <= maxFleetMemory, "%d bytes", held)
}

// memoryInUse returns the bytes of live objects and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC() // the first collection does not free the content of sync.Pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

package watch

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

const startingHosts = 472

// What messages take of the processor of the smallest hosts, 0.16 cores.
const (
	handling = 500 * time.Microsecond
	// connecting is for the first one between two hosts, which opens a connection.
	connecting = 2500 * time.Microsecond
)

// slowProcessors has messages to a host wait for each other until it has handled them.
func slowProcessors(fl *fleet) {
	var mu sync.Mutex
	free := make(map[ports.HostID]time.Time)
	connected := make(map[[2]ports.HostID]bool)
	fl.net.Delay = func(from, to ports.HostID) time.Duration {
		fl.messages.Add(1)
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		begin := now.Add(time.Millisecond)
		if free[to].After(begin) {
			begin = free[to]
		}
		cost := handling
		if !connected[[2]ports.HostID{from, to}] {
			connected[[2]ports.HostID{from, to}] = true
			connected[[2]ports.HostID{to, from}] = true
			cost += connecting
		}
		free[to] = begin.Add(cost)
		return free[to].Sub(now)
	}
}

// Callers pay for hundreds of hosts that start together: each asks the three seeds every
// 20 ms, the seeds fall behind, and whoever has no answer in time reads the store by
// itself and then tries to watch it, since no heartbeat gets through either.
func TestFirstStartOfManyHostsTakesFewCalls(t *testing.T) {
	withNetwork(t, startingHosts, slowProcessors, func(fl *fleet) {
		calls := fl.record.Calls()
		t.Logf("%d calls, %d messages, %d watch", calls, fl.messages.Load(), len(fl.watching()))
		took := fl.await(nil, func(h *host) bool { return h.version() == 1 && h.takes(0) })
		assert.Check(t, took == 0, "known by all %s later", took)
		assert.Check(t, calls < startingHosts/2, "%d calls", calls)
	})
}

// The settings of a host name no others, as on a deployment of one. There is nobody to
// leave the store to, and callers must not wait for it.
func TestFirstStartWithoutSeedsReadsTheStoreAtOnce(t *testing.T) {
	withFleet(t, 0, func(fl *fleet) {
		fl.seeds = nil
		fl.start(0, false)
		took := fl.await(nil, func(h *host) bool { return h.takes(0) })
		assert.Check(t, took < 200*time.Millisecond, "known after %s", took)
	})
}

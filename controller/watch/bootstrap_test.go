package watch

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

const startingHosts = 472

// CPU time that a message takes on the smallest hosts, which have 0.16 cores.
const (
	messageCost = 500 * time.Microsecond
	// connectCost is added for the first message between two hosts, which opens a connection.
	connectCost = 2500 * time.Microsecond
)

// limitCPU makes messages to a host queue until it has handled those before them.
func limitCPU(fl *fleet) {
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
		cost := messageCost
		if !connected[[2]ports.HostID{from, to}] {
			connected[[2]ports.HostID{from, to}] = true
			connected[[2]ports.HostID{to, from}] = true
			cost += connectCost
		}
		free[to] = begin.Add(cost)
		return free[to].Sub(now)
	}
}

// Guards against a call to the store per host when hundreds start together: each polls the three
// seeds every 20 ms, the seeds fall behind, and a host without a timely reply reads the store
// itself and then tries to watch it, since no heartbeat gets through either. Calls are paid for.
func TestFirstStartOfManyHostsTakesFewCalls(t *testing.T) {
	withNetwork(t, startingHosts, limitCPU, func(fl *fleet) {
		calls := fl.record.Calls()
		t.Logf("%d calls, %d messages, %d watchers", calls, fl.messages.Load(), len(fl.watching()))
		took := fl.await(nil, func(h *host) bool { return h.version() == 1 && h.routesTo(0) })
		assert.Check(t, took == 0, "known by all %s later", took)
		assert.Check(t, calls < startingHosts/2, "%d calls", calls)
	})
}

// Guards against callers waiting for seeds that do not exist: in a deployment of one host the
// settings name no others, and it has to read the store itself.
func TestFirstStartWithoutSeedsReadsTheStoreAtOnce(t *testing.T) {
	withFleet(t, 0, func(fl *fleet) {
		fl.seeds = nil
		fl.start(0, false)
		took := fl.await(nil, func(h *host) bool { return h.routesTo(0) })
		assert.Check(t, took < 200*time.Millisecond, "known after %s", took)
	})
}

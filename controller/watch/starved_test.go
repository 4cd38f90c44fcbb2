package watch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

var starvedSeeds = flag.Int("starved-seeds", 4, "histories in the tests with starved hosts")

const (
	starvedHosts   = 30
	starvedHistory = 40 * time.Second
	// starvedCost is the time that a starved host takes for each message.
	starvedCost = 60 * time.Millisecond
	// soundAfter is how long after a disturbance of its own a host has to serve everything.
	soundAfter = 3 * time.Second
	// resumedBound is the time within which a host that was stopped serves again.
	resumedBound = time.Second
	callInterval = 20 * time.Millisecond
)

// movingConfig is a version of a configuration that moves the only route to another service.
func movingConfig(version uint64) *routing.Config {
	name := fmt.Sprintf("lots-%d", version)
	return &routing.Config{Version: version, Services: []routing.Service{{Name: name}}, Routes: []routing.Route{{
		Name: "lots", Host: callersHost, Prefix: "/lots/", Kind: routing.Safe, Timeout: time.Second, MaxAttempts: 1,
		Split: []routing.WeightedService{{Service: name, Weight: 1}},
	}}}
}

// starvedFleet is a fleet whose hosts are stopped for seconds, or get processor time for a few
// messages a second, while configurations change and targets drain.
type starvedFleet struct {
	*fleet
	t    *testing.T
	seed uint64
	rng  *rand.Rand

	mu sync.Mutex
	// acceptedAt is when the store accepted each version, drainedAt each drain.
	acceptedAt map[uint64]time.Time
	drainedAt  map[int]time.Time
	// stopped and starved are the hosts disturbed now, resumedAt is when each was last disturbed.
	stopped, starved map[*host]bool
	resumedAt        map[*host]time.Time
	// free is when a starved host has handled the messages before.
	free map[ports.HostID]time.Time

	calls, refused int
}

func withStarvedHosts(t *testing.T, seed uint64, f func(sf *starvedFleet)) {
	t.Helper()
	sf := &starvedFleet{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 16)),
		acceptedAt: make(map[uint64]time.Time), drainedAt: make(map[int]time.Time),
		stopped: make(map[*host]bool), starved: make(map[*host]bool),
		resumedAt: make(map[*host]time.Time), free: make(map[ports.HostID]time.Time),
	}
	setUp := func(fl *fleet) {
		sf.fleet = fl
		fl.net.Delay = sf.delay
		fl.record.PutConfig(movingConfig(1))
	}
	withNetwork(t, starvedHosts, setUp, func(*fleet) { f(sf) })
}

// delay is the time that a message takes; both ends that are starved have handled what came before.
func (sf *starvedFleet) delay(from, to ports.HostID) time.Duration {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	now := time.Now()
	at := now.Add(time.Millisecond)
	for h := range sf.starved {
		if id := ports.HostID(h.addr); id == from || id == to {
			at = later(at, sf.free[id]).Add(starvedCost)
			sf.free[id] = at
		}
	}
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// disturb stops or starves a random sound host for some seconds.
func (sf *starvedFleet) disturb() {
	h := sf.hosts[sf.rng.IntN(len(sf.hosts))]
	long := time.Duration(1+sf.rng.IntN(6)) * time.Second
	stop := sf.rng.IntN(2) == 0
	sf.mu.Lock()
	defer sf.mu.Unlock()
	if sf.stopped[h] || sf.starved[h] {
		return
	}
	if !stop {
		sf.starved[h] = true
		time.AfterFunc(long, func() { sf.heal(h, sf.starved) })
		return
	}
	sf.stopped[h] = true
	sf.net.Pause(ports.HostID(h.addr))
	h.client.SetMode(memstore.Unresponsive)
	time.AfterFunc(long, func() {
		h.client.SetMode(memstore.Serving)
		sf.net.Resume(ports.HostID(h.addr))
		sf.heal(h, sf.stopped)
	})
}

func (sf *starvedFleet) heal(h *host, disturbed map[*host]bool) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	delete(disturbed, h)
	sf.resumedAt[h] = time.Now()
}

// state returns whether a host is stopped or starved, and when it last was.
func (sf *starvedFleet) state(h *host) (stopped, starved bool, until time.Time) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	return sf.stopped[h], sf.starved[h], sf.resumedAt[h]
}

// change writes a configuration or the drain of a target.
func (sf *starvedFleet) change(version uint64) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	sf.record.PutConfig(movingConfig(version))
	sf.acceptedAt[version] = time.Now()
	if i := int(version) - 2; i < 10 {
		sf.record.Put(entryOf(i, true))
		sf.drainedAt[i] = time.Now()
	}
}

// call sends a request to a host and checks what it was routed by. It reports whether the host
// routed it.
func (sf *starvedFleet) call(h *host) bool {
	sent := time.Now()
	r := httptest.NewRequest(http.MethodGet, "/lots/1", nil)
	r.Host = callersHost
	w := httptest.NewRecorder()
	h.callers.ServeHTTP(w, r)
	if w.Header().Get(outcome.HeaderReason) != string(outcome.ReasonNoTarget) {
		return false
	}
	sf.check(h, sent)
	return true
}

// check checks that the state by which a host routes now was in force within the bound before a
// request was sent.
func (sf *starvedFleet) check(h *host, sent time.Time) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	if next, ok := sf.acceptedAt[h.version()+1]; ok {
		assert.Check(sf.t, sent.Sub(next) <= bound, "seed %d: %s routes by version %d, replaced %s before", sf.seed, h.addr, h.version(), sent.Sub(next))
	}
	for i, at := range sf.drainedAt {
		if sent.Sub(at) > bound {
			assert.Check(sf.t, !h.routesTo(i), "seed %d: %s routes to t%02d, which drained %s before", sf.seed, h.addr, i, sent.Sub(at))
		}
	}
}

// callAll calls a host until the history ends, but while it is stopped.
func (sf *starvedFleet) callAll(h *host, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(callInterval) {
		stopped, starved, until := sf.state(h)
		if stopped {
			continue
		}
		routed := sf.call(h)
		sf.mu.Lock()
		sf.calls++
		if !routed {
			sf.refused++
		}
		sf.mu.Unlock()
		if again, starvedNow, _ := sf.state(h); again || starved || starvedNow {
			continue
		}
		if sound := time.Since(until); sound > soundAfter {
			assert.Check(sf.t, routed, "seed %d: %s, sound for %s, refuses", sf.seed, h.addr, sound)
		}
	}
}

// Guards against calls routed by a configuration or to targets that were replaced or drained
// seconds before, by hosts whose processes were stopped or starved meanwhile.
func TestStarvedHostsRouteByNoReplacedState(t *testing.T) {
	for seed := range uint64(*starvedSeeds) {
		withStarvedHosts(t, seed, func(sf *starvedFleet) {
			end := time.Now().Add(starvedHistory)
			var wg sync.WaitGroup
			for _, h := range sf.hosts {
				wg.Go(func() { sf.callAll(h, end) })
			}
			for version := uint64(2); time.Now().Before(end); version++ {
				sf.change(version)
				for next := time.Now().Add(time.Duration(200+sf.rng.IntN(1800)) * time.Millisecond); time.Now().Before(next); {
					sf.disturb()
					time.Sleep(time.Duration(100+sf.rng.IntN(300)) * time.Millisecond)
				}
			}
			wg.Wait()
			t.Logf("seed %d: %d calls, %d refused", seed, sf.calls, sf.refused)
			time.Sleep(10 * time.Second) // the last disturbances end
		})
	}
}

package watch

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

var slowSeeds = flag.Int("slow-seeds", 2, "draws in the tests with slow hosts")

const (
	// squeezedLink is the rate of a slow host's link in bytes per second, 0.5 Mbit/s: its
	// heartbeats as a watcher alone take more.
	squeezedLink = 0.5e6 / 8
	// squeezedBefore is how long links are squeezed before the first change.
	squeezedBefore = 3 * time.Second
	slowVersions   = 6
	slowRoutes     = 1500
	// slowWait is how long a test waits for a change after the bound, to tell a late host from
	// one that never learns of it.
	slowWait = 6 * time.Second
)

// slowFleet is a fleet some of whose links are slow.
type slowFleet struct {
	*fleet
	rng *rand.Rand

	mu       sync.Mutex
	squeezed map[ports.HostID]bool
}

// withSlowHosts runs f with hosts on links of 10 Mbit/s, of which count drawn by seed drop to
// squeezedLink, while targets change four times a second.
func withSlowHosts(t *testing.T, seed uint64, count int, f func(fl *slowFleet)) {
	t.Helper()
	sf := &slowFleet{rng: rand.New(rand.NewPCG(seed, 11)), squeezed: make(map[ports.HostID]bool)}
	setUp := func(fl *fleet) {
		sf.fleet = fl
		fl.net.Bandwidth = sf.bandwidth
		fl.record.PutConfig(largeConfig(1, 100))
	}
	withNetwork(t, *scaleHosts, setUp, func(fl *fleet) {
		for i := 10; i < targetsEach**scaleHosts; i++ {
			fl.record.Put(entryOf(i, false))
		}
		time.Sleep(5 * time.Second)
		stop := sf.changeTargets()
		defer stop()
		sf.squeeze(count)
		time.Sleep(squeezedBefore)
		f(sf)
	})
}

func (sf *slowFleet) bandwidth(id ports.HostID) float64 {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	if sf.squeezed[id] {
		return squeezedLink
	}
	return slowLink
}

// squeeze makes the links of count random hosts slow.
func (sf *slowFleet) squeeze(count int) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for _, i := range sf.rng.Perm(len(sf.hosts))[:count] {
		sf.squeezed[ports.HostID(sf.hosts[i].addr)] = true
	}
}

// changeTargets replaces four targets a second until the function that it returns is called.
func (sf *slowFleet) changeTargets() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := targetsEach * len(sf.hosts); ; i++ {
			select {
			case <-done:
				return
			case <-time.After(250 * time.Millisecond):
				sf.record.Put(entryOf(i, false))
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// late waits until all hosts whose links are not slow satisfy a condition, and returns those that
// did not within the bound, and how long the last of them took.
// It also returns how many of those knew at that time that they lack something.
func (sf *slowFleet) late(ok func(h *host) bool) (late []*host, knew int, took time.Duration) {
	start := time.Now()
	for time.Since(start) < bound+slowWait {
		open := sf.sound(func(h *host) bool { return !ok(h) })
		if len(open) == 0 {
			break
		}
		if late == nil && time.Since(start) >= bound {
			late, knew = open, aware(open)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return late, knew, time.Since(start)
}

// aware returns how many hosts know that they lack something.
func aware(hosts []*host) (n int) {
	for _, h := range hosts {
		h.c.mu.Lock()
		if h.c.gap != nil {
			n++
		}
		h.c.mu.Unlock()
	}
	return n
}

// sound returns the hosts whose links are not slow and that satisfy a condition.
func (sf *slowFleet) sound(ok func(h *host) bool) (list []*host) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for _, h := range sf.hosts {
		if !sf.squeezed[ports.HostID(h.addr)] && ok(h) {
			list = append(list, h)
		}
	}
	return list
}

// Guards against hosts on sound links that go by an old configuration for seconds because the
// hosts that they learn from are slow but alive.
func TestSlowHostsDelayNoConfigurationElsewhere(t *testing.T) {
	for seed := range uint64(*slowSeeds) {
		for _, percent := range []int{30, 50, 70} {
			withSlowHosts(t, seed, percent**scaleHosts/100, func(sf *slowFleet) {
				for v := range uint64(slowVersions) {
					sf.record.PutConfig(largeConfig(2+v, slowRoutes))
					late, knew, took := sf.late(func(h *host) bool { return h.version() >= 2+v })
					assert.Check(t, len(late) == 0, "seed %d, %d%% slow: %d sound hosts, %d of them aware, lack version %d after %s, the last for %s",
						seed, percent, len(late), knew, 2+v, bound, took)
				}
			})
		}
	}
}

// Guards against calls to a target that drains, by hosts on sound links that don't know of it
// because the hosts that they learn from are slow but alive.
func TestSlowHostsDelayNoDrainElsewhere(t *testing.T) {
	for seed := range uint64(*slowSeeds) {
		withSlowHosts(t, seed, *scaleHosts/2, func(sf *slowFleet) {
			for v := range uint64(slowVersions) {
				i := int(v)
				sf.record.PutConfig(largeConfig(2+v, slowRoutes))
				sf.record.Put(entryOf(i, true))
				late, knew, took := sf.late(func(h *host) bool { return !h.routesTo(i) })
				assert.Check(t, len(late) == 0, "seed %d: %d sound hosts, %d of them aware, route to t%02d after %s, the last for %s",
					seed, len(late), knew, i, bound, took)
			}
		})
	}
}

// Guards against a change that nobody forwards: hosts whose link from the store is slow watch it, and
// its responses to them keep arriving for seconds.
func TestSlowReadsOfWatchersKeepNoChangeFromOthers(t *testing.T) {
	for seed := range uint64(*slowSeeds) {
		rng := rand.New(rand.NewPCG(seed, 12))
		withFleet(t, 60, func(fl *fleet) {
			slow := fl.watching()
			for _, i := range rng.Perm(len(fl.hosts)) {
				if h := fl.hosts[i]; len(slow) < 30 && !contains(slow, h) {
					slow = append(slow, h)
				}
			}
			for _, h := range slow {
				h.client.SetTrickle(10 * time.Second)
			}
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			for v := range uint64(slowVersions) {
				i := int(v)
				fl.record.PutConfig(config(2 + v))
				fl.record.Put(entryOf(i, true))
				took := fl.await(slow, func(h *host) bool { return h.version() >= 2+v && !h.routesTo(i) })
				assert.Check(t, took < bound, "seed %d: version %d known after %s", seed, 2+v, took)
			}
		})
	}
}

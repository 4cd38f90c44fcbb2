package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// bound is the time within which a change must be known everywhere.
const bound = 2 * time.Second

const service = "bids"

var key = blackboard.ServiceKey{Workspace: routing.Workspace, Service: service}

func TestTwoHostsWatchForAll(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		assert.Equal(t, len(fl.watching()), watchers.WantedWatchers)
		before := fl.record.Calls()
		time.Sleep(time.Minute)
		assert.Check(t, fl.record.Calls()-before < 200, "%d calls in an idle minute", fl.record.Calls()-before)
		fl.record.PutConfig(config(2))
		fl.record.Put(entryOf(3, true))
		took := fl.await(nil, func(h *host) bool { return h.version() == 2 && !h.routesTo(3) })
		assert.Check(t, took < 200*time.Millisecond, "known after %s", took)
	})
}

// Guards against a number of calls to the store that grows with the square of the number of
// hosts, when all hosts start together and when all restart at once after a power loss. Callers
// are waiting in the second case.
func TestStartOfManyHosts(t *testing.T) {
	for _, n := range []int{14, 121} {
		withFleet(t, n, func(fl *fleet) {
			assert.Check(t, fl.record.Calls() < 60+2*n, "%d calls at the first start of %d", fl.record.Calls(), n)
			for _, h := range fl.hosts {
				h.stop()
			}
			fl.hosts = nil
			before := fl.record.Calls()
			for i := range n {
				fl.start(i, true)
			}
			took := fl.await(nil, func(h *host) bool { return h.version() == 1 && h.routesTo(0) })
			assert.Check(t, took < 400*time.Millisecond, "%d hosts ready after %s", n, took)
			time.Sleep(3 * time.Second)
			assert.Check(t, fl.record.Calls()-before < 60+3*n, "%d calls at the second start of %d", fl.record.Calls()-before, n)
		})
	}
}

// All hosts lose power, and the seeds come up last. Each host has to find the store, and through
// it the other hosts, by itself. Guards against saturated links, as when each of the 121 hosts
// fetches the state from all others.
func TestSeedsStartLast(t *testing.T) {
	const n = 121
	withFleet(t, n, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.stop()
		}
		fl.hosts = nil
		for i := 3; i < n; i++ {
			fl.start(i, true)
		}
		before := fl.messages.Load()
		took := fl.await(nil, func(h *host) bool { return h.version() == 1 && h.routesTo(0) })
		assert.Check(t, took < 200*time.Millisecond, "ready after %s", took)
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			fl.start(i, true)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(fl.watching()), watchers.WantedWatchers)
		sent := fl.messages.Load() - before
		assert.Check(t, sent < 100*n, "%d messages", sent)
	})
}

// The watchers stop responding just after a target started to drain. The other hosts must notice
// the silence, read the store themselves, and stop sending to the target within the bound.
func TestDrainIsKnownInTimeThoughWatchersFreeze(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		frozen := fl.watching()
		for _, h := range frozen {
			fl.isolate(h)
		}
		fl.record.Put(entryOf(3, true))
		took := fl.await(frozen, func(h *host) bool { return !h.routesTo(3) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// Guards against sending calls to a draining target because its change was lost to one host
// while the next change arrived: the newest revision alone makes the host look up to date.
func TestLostChangeIsNoticedThoughALaterOneArrives(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.loseChange(3)
		fl.record.Put(entryOf(4, true))
		took := fl.await(nil, func(h *host) bool { return !h.routesTo(3) && !h.routesTo(4) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// One change is lost to one host while targets are replaced one after another, so that the next
// change always arrives before a heartbeat can be compared. The digest sent with each change has
// to reveal the gap.
func TestLostChangeIsNoticedWhileOthersKeepComing(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		start := time.Now()
		behind := fl.loseChange(3)
		for i := 10; behind.routesTo(3) && time.Since(start) < 2*bound; i++ {
			fl.record.Put(entryOf(i, false))
			time.Sleep(30 * time.Millisecond)
		}
		assert.Check(t, time.Since(start) < bound, "known after %s", time.Since(start))
	})
}

// With many hosts a watcher sends each change to one host in every other availability zone,
// which forwards it. A third of all hosts, relays among them, stop responding while targets
// drain one after another. A host whose relay is silent has to ask once a heartbeat shows that
// it is behind.
func TestDrainIsKnownInTimeThoughRelaysAreSilent(t *testing.T) {
	withFleet(t, 60, func(fl *fleet) {
		var silent []*host
		for i, h := range fl.hosts {
			if i%3 == 1 && !h.watches() {
				silent = append(silent, h)
				fl.isolate(h)
			}
		}
		for i := range 8 {
			fl.record.Put(entryOf(i, true))
			took := fl.await(silent, func(h *host) bool { return !h.routesTo(i) })
			assert.Check(t, took < bound, "known after %s", took)
		}
	})
}

// The same without a fault: the change is known at once, and the hosts receive no more messages
// in total than there are hosts.
func TestRelaysSpareTheWatcher(t *testing.T) {
	withFleet(t, 60, func(fl *fleet) {
		steps := func() (n int64) {
			for _, h := range fl.hosts {
				n += h.c.count.changes.Value()
			}
			return n
		}
		before := steps()
		fl.record.Put(entryOf(3, true))
		took := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
		assert.Check(t, took < 50*time.Millisecond, "known after %s", took)
		time.Sleep(time.Second)
		assert.Check(t, steps()-before <= 60, "%d messages", steps()-before)
	})
}

// The store rejects the watchers and three other hosts, by refusing and by staying silent. The
// others must know of a draining target within the bound.
func TestDrainIsKnownInTimeThoughTheStoreTurnsWatchersAway(t *testing.T) {
	for _, mode := range []memstore.Mode{memstore.Refusing, memstore.Unresponsive} {
		withFleet(t, 14, func(fl *fleet) {
			away := fl.watching()
			for _, h := range fl.hosts {
				if len(away) < 5 && !h.watches() {
					away = append(away, h)
				}
			}
			for _, h := range away {
				h.client.SetMode(mode)
			}
			fl.record.Put(entryOf(3, true))
			took := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
			assert.Check(t, took < bound, "mode %d: known after %s", mode, took)
		})
	}
}

// The store delays its watches for a second, one target starts to drain and another is removed
// meanwhile, and then the history is dropped. Both must be known within the bound from when they
// were written.
func TestDrainIsKnownInTimeThoughHistoryIsDropped(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.record.HoldWatches(true)
		fl.record.Put(entryOf(3, true))
		fl.record.Remove(targetID(4))
		start := time.Now()
		time.Sleep(time.Second)
		fl.record.DropHistory()
		fl.record.HoldWatches(false)
		fl.await(nil, func(h *host) bool { return !h.routesTo(3) && !h.routesTo(4) })
		assert.Check(t, time.Since(start) < bound, "known after %s", time.Since(start))
	})
}

// All seeds are stale. A starting host must still find the others, by the list of hosts that a
// watcher wrote to the store.
func TestStaleSeedsAreNoObstacle(t *testing.T) {
	withFleet(t, 6, func(fl *fleet) {
		fl.seeds = []string{"10.9.0.1:8649", "10.9.0.2:8649"}
		h := fl.start(7, true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.version(), uint64(1))
		assert.Check(t, len(h.board.Members.Load().Members) >= 7)
		fl.record.Put(entryOf(3, true))
		took := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// Guards against a target staying marked as leaving after a restart: its own response marked it
// on one host, which never saw the previous incarnation's entry removed.
func TestHintOfLeavingEndsWithTheRun(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		h := fl.hosts[3]
		h.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
			return old.WithLeaving(key, ports.NewRunID(targetID(2), 1), time.Now())
		})
		fl.record.Put(entryOf(7, false))
		time.Sleep(time.Second)
		assert.Check(t, !h.routesTo(2), "the store's older entry replaced the target's own response")
		next := entryOf(2, false)
		next.Incarnation = 2
		fl.record.Put(next)
		time.Sleep(time.Second)
		assert.Check(t, h.routesTo(2))
	})
}

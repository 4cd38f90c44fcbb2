package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/record"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// bound is the time in which a change must be known everywhere.
const bound = 2 * time.Second

const service = "bids"

var key = blackboard.ServiceKey{Workspace: routing.Workspace, Service: service}

func TestTwoHostsWatchForAll(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		assert.Equal(t, len(fl.watching()), watchers.Wanted)
		before := fl.record.Calls()
		time.Sleep(time.Minute)
		assert.Check(t, fl.record.Calls()-before < 200, "%d calls in a calm minute", fl.record.Calls()-before)
		fl.record.Configure(config(2))
		fl.record.Put(entryOf(3, true))
		took := fl.await(nil, func(h *host) bool { return h.version() == 2 && !h.takes(3) })
		assert.Check(t, took < 200*time.Millisecond, "known after %s", took)
	})
}

// All hosts start together, and later all lose power and start again at the same
// moment. Neither may press on the store with calls that grow with the number of
// hosts squared, and after the second callers are waiting.
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
			took := fl.await(nil, func(h *host) bool { return h.version() == 1 && h.takes(0) })
			assert.Check(t, took < 400*time.Millisecond, "%d hosts ready after %s", n, took)
			time.Sleep(3 * time.Second)
			assert.Check(t, fl.record.Calls()-before < 60+3*n, "%d calls at the second start of %d", fl.record.Calls()-before, n)
		})
	}
}

// All hosts lose power, and the seeds come up a little after the others. Each host
// finds the store, and through it the others, by itself. Hosts that asked each other
// for all they know, 121 times 121, would fill their links.
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
		took := fl.await(nil, func(h *host) bool { return h.version() == 1 && h.takes(0) })
		assert.Check(t, took < 200*time.Millisecond, "ready after %s", took)
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			fl.start(i, true)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(fl.watching()), watchers.Wanted)
		sent := fl.messages.Load() - before
		assert.Check(t, sent < 100*n, "%d messages", sent)
	})
}

// The hosts that watch freeze, just after a target has begun to leave. Nobody tells
// the others: they must notice the silence, read the store themselves, and send the
// target nothing new within the bound.
func TestDrainIsKnownInTimeThoughWatchersFreeze(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		frozen := fl.watching()
		for _, h := range frozen {
			fl.freeze(h)
		}
		fl.record.Put(entryOf(3, true))
		took := fl.await(frozen, func(h *host) bool { return !h.takes(3) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// The message of one change is lost on its way to one host, and that of the next
// arrives a moment later. By its newest revision this host is up to date, and it would go
// on sending calls to the target that left first. It must notice what it lacks.
func TestLostChangeIsNoticedThoughALaterOneArrives(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.loseChange(3)
		fl.record.Put(entryOf(4, true))
		took := fl.await(nil, func(h *host) bool { return !h.takes(3) && !h.takes(4) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// The message of one change is lost on its way to one host while targets are replaced one
// after the other, so that the next change always comes before a heartbeat can be compared.
// Each change tells what the list is to be after it, and the gap shows with the next one.
func TestLostChangeIsNoticedWhileOthersKeepComing(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		start := time.Now()
		behind := fl.loseChange(3)
		for i := 10; behind.takes(3) && time.Since(start) < 2*bound; i++ {
			fl.record.Put(entryOf(i, false))
			time.Sleep(30 * time.Millisecond)
		}
		assert.Check(t, time.Since(start) < bound, "known after %s", time.Since(start))
	})
}

// Where hosts are many, a watcher sends each change to one host of every other
// availability zone, and these pass it on. A third of all hosts fall silent, relays among
// them, and targets begin to leave one after the other. A host whose relay was silent
// asks once it hears from the watcher that it lacks something.
func TestDrainIsKnownInTimeThoughRelaysAreSilent(t *testing.T) {
	withFleet(t, 60, func(fl *fleet) {
		var silent []*host
		for i, h := range fl.hosts {
			if i%3 == 1 && !h.watches() {
				silent = append(silent, h)
				fl.freeze(h)
			}
		}
		for i := range 8 {
			fl.record.Put(entryOf(i, true))
			took := fl.await(silent, func(h *host) bool { return !h.takes(i) })
			assert.Check(t, took < bound, "known after %s", took)
		}
	})
}

// The same without a fault: the change is known at once, and a watcher sends less than
// one message for each host.
func TestRelaysSpareTheWatcher(t *testing.T) {
	withFleet(t, 60, func(fl *fleet) {
		steps := func() (n int64) {
			for _, h := range fl.hosts {
				n += h.c.count.steps.Value()
			}
			return n
		}
		before := steps()
		fl.record.Put(entryOf(3, true))
		took := fl.await(nil, func(h *host) bool { return !h.takes(3) })
		assert.Check(t, took < 50*time.Millisecond, "known after %s", took)
		time.Sleep(time.Second)
		assert.Check(t, steps()-before <= 60, "%d messages", steps()-before)
	})
}

// The store turns away the hosts that watch, and three others besides, in each of
// the ways it has. The rest must know of a leaving target within the bound.
func TestDrainIsKnownInTimeThoughTheStoreTurnsWatchersAway(t *testing.T) {
	for _, mode := range []record.Mode{record.Refuses, record.Silent} {
		withFleet(t, 14, func(fl *fleet) {
			away := fl.watching()
			for _, h := range fl.hosts {
				if len(away) < 5 && !h.watches() {
					away = append(away, h)
				}
			}
			for _, h := range away {
				h.client.Set(mode)
			}
			fl.record.Put(entryOf(3, true))
			took := fl.await(nil, func(h *host) bool { return !h.takes(3) })
			assert.Check(t, took < bound, "mode %d: known after %s", mode, took)
		})
	}
}

// The store holds its watches back for a second, a target begins to leave and
// another one is gone meanwhile, and then the history is dropped. Both must be
// known within the bound from the moment they were written.
func TestDrainIsKnownInTimeThoughHistoryIsDropped(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.record.Mute(true)
		fl.record.Put(entryOf(3, true))
		fl.record.Remove(targetID(4))
		start := time.Now()
		time.Sleep(time.Second)
		fl.record.DropHistory()
		fl.record.Mute(false)
		fl.await(nil, func(h *host) bool { return !h.takes(3) && !h.takes(4) })
		assert.Check(t, time.Since(start) < bound, "known after %s", time.Since(start))
	})
}

// All seeds are stale: they name hosts that are gone. A host that starts must find
// the others all the same, by the list that a watcher wrote down.
func TestStaleSeedsAreNoObstacle(t *testing.T) {
	withFleet(t, 6, func(fl *fleet) {
		fl.seeds = []string{"10.9.0.1:8649", "10.9.0.2:8649"}
		h := fl.start(7, true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.version(), uint64(1))
		assert.Check(t, len(h.board.Members.Load().Members) >= 7)
		fl.record.Put(entryOf(3, true))
		took := fl.await(nil, func(h *host) bool { return !h.takes(3) })
		assert.Check(t, took < bound, "known after %s", took)
	})
}

// A target's own answer told one host that it is leaving. The target starts again under
// its name: the host takes it at once, as the others do, though it never heard of the
// former run's entry going.
func TestHintOfLeavingEndsWithTheRun(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		h := fl.hosts[3]
		h.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
			return old.WithLeaving(key, ports.NewRunID(targetID(2), 1), time.Now())
		})
		fl.record.Put(entryOf(7, false))
		time.Sleep(time.Second)
		assert.Check(t, !h.takes(2), "the record lags behind the target's own word")
		next := entryOf(2, false)
		next.Incarnation = 2
		fl.record.Put(next)
		time.Sleep(time.Second)
		assert.Check(t, h.takes(2))
	})
}

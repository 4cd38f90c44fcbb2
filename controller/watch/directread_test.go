package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// withoutPeers runs f with a host, not a watcher, that gets nothing but heartbeats from other hosts and
// reaches none of them once cut is called.
func withoutPeers(t *testing.T, f func(fl *fleet, h *host, cut func())) {
	t.Helper()
	var alone atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Drop = func(from, to peer.HostID, kind peer.Kind) bool {
			h := alone.Load()
			return h != nil && kind != kindHeartbeat && (h.addr == string(to) || h.addr == string(from))
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.nonWatcher()
		f(fl, h, func() { alone.Store(h) })
	})
}

// Guards against a host that stays behind for good because no other host sends it what it lacks,
// although the store answers within milliseconds.
func TestHostThatNobodySendsChangesReadsTheStore(t *testing.T) {
	withoutPeers(t, func(fl *fleet, h *host, cut func()) {
		cut()
		for i := range 5 {
			fl.record.PutConfig(config(uint64(2 + i)))
			fl.record.Put(entryOf(i, true))
			took := fl.await(nil, func(h *host) bool { return h.version() == uint64(2+i) && !h.routesTo(i) })
			assert.Check(t, took < bound, "known after %s", took)
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
		}
		assert.Check(t, h.c.count.directReads.Value() > 0)
	})
}

// Guards against a host that stays behind for seconds because it waits for a store that does not
// respond to it, with timeouts that double, and asks no further host meanwhile. The hosts that it
// asks first do not reply.
func TestUnresponsiveStoreKeepsNoHostFromAskingOthers(t *testing.T) {
	const firstRequests = 800 * time.Millisecond // those before the read of the store
	var behind atomic.Pointer[host]
	var changedAt atomic.Pointer[time.Time]
	setUp := func(fl *fleet) {
		fl.net.Drop = func(from, to peer.HostID, kind peer.Kind) bool {
			h, at := behind.Load(), changedAt.Load()
			if h == nil || at == nil || time.Since(*at) > firstRequests {
				return false
			}
			return h.addr == string(from) && kind == kindSync || h.addr == string(to) && kind != kindHeartbeat
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.nonWatcher()
		h.client.SetMode(memstore.Unresponsive)
		behind.Store(h)
		for i := range 4 {
			now := time.Now()
			changedAt.Store(&now)
			fl.record.Put(entryOf(i, true))
			took := fl.await(nil, func(h *host) bool { return !h.routesTo(i) })
			assert.Check(t, took < bound, "drain %d known after %s", i, took)
			time.Sleep(3*time.Second - time.Since(now))
		}
		assert.Check(t, h.c.count.directReads.Value() > 0, "the store was not read")
	})
}

// Guards against a host that the store turns away and that asks so few others that all of them may be
// silent: here half of them are, among them the watchers and its zone, which it asks first.
func TestHostThatTheStoreRejectsAsksEnoughOthers(t *testing.T) {
	const oneRound = 1250 * time.Millisecond // heartbeat, wait, first requests, fallback
	var behind atomic.Pointer[host]
	var silent sync.Map
	setUp := func(fl *fleet) {
		fl.net.Drop = func(from, to peer.HostID, kind peer.Kind) bool {
			h := behind.Load()
			if h == nil || kind == kindHeartbeat {
				return false
			}
			_, isSilent := silent.Load(string(to))
			return h.addr == string(from) && isSilent || h.addr == string(to)
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.nonWatcher()
		count := 0
		for _, first := range []bool{true, false} { // the watchers and the zone, then others
			for _, other := range fl.hosts {
				asked := other.watches() || other.c.deps.Self.Zone == h.c.deps.Self.Zone
				if other != h && asked == first && count < fallbackHosts-1 {
					silent.Store(other.addr, true)
					count++
				}
			}
		}
		h.client.SetMode(memstore.Refusing)
		behind.Store(h)
		for i := range 40 {
			fl.record.Put(entryOf(20+i, false))
			took := fl.await(nil, func(h *host) bool { return h.routesTo(20 + i) })
			assert.Check(t, took < oneRound, "change %d known after %s", i, took)
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against a host without a current watcher that goes by what it has until its turn to take
// over comes: all watchers and the first hosts in turn stop responding.
func TestDrainIsKnownInTimeThoughFirstHostsInTurnAreSilent(t *testing.T) {
	withFleet(t, 60, func(fl *fleet) {
		silent := fl.watching()
		for _, h := range fl.hosts {
			if !h.watches() && len(silent) < 40 {
				silent = append(silent, h)
			}
		}
		for _, h := range silent {
			fl.isolate(h)
		}
		fl.record.Put(entryOf(3, true))
		took := fl.await(silent, func(h *host) bool { return !h.routesTo(3) })
		assert.Check(t, took < 1500*time.Millisecond, "known after %s", took)
	})
}

// Guards against refusing calls for want of a target: an evacuation that a host reads for itself
// must not overtake the targets listed before it, which it lacks as well.
func TestDirectReadOfAnEvacuationDoesNotOvertakeTargets(t *testing.T) {
	withoutPeers(t, func(fl *fleet, h *host, cut func()) {
		cut()
		for i := 20; i < 30; i++ {
			fl.record.Put(entryOf(i, false))
		}
		fl.record.Evacuate("z1")
		evacuated := func() bool {
			_, ok := h.board.Evacuations.Load().Zones["z1"]
			return ok
		}
		for start := time.Now(); !evacuated() && time.Since(start) < bound; {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, evacuated())
		assert.Check(t, h.routesTo(29), "evacuated before the targets were listed")
	})
}

// Guards against losing all targets after an outage of the store, in which their entries expired: a
// host that reads the store for itself holds them like a watcher.
func TestDirectReadHoldsTargetsExpiredInAnOutage(t *testing.T) {
	withoutPeers(t, func(fl *fleet, h *host, cut func()) {
		for _, other := range fl.hosts {
			other.client.SetMode(memstore.Unresponsive)
		}
		time.Sleep(6 * time.Second)
		fl.record.Remove(targetID(3))
		cut()
		for _, other := range fl.hosts {
			other.client.SetMode(memstore.Serving)
		}
		assert.Assert(t, h.c.readStore(context.Background(), whyBehind))
		assert.Check(t, h.routesTo(3), "dropped although its entry may be written again")
		time.Sleep(returnHold + time.Second)
		assert.Check(t, !h.routesTo(3), "held for longer than an entry takes to return")
	})
}

// Guards against denying a route that was added while the answer to a host's own read was on its
// way: the read vouches for the moment at which it was asked for.
func TestDirectReadConfirmsAsOfItsRequest(t *testing.T) {
	withoutPeers(t, func(fl *fleet, h *host, cut func()) {
		const delay = 250 * time.Millisecond
		fl.record.SetReplyDelay(delay)
		h.c.readStore(context.Background(), whyStale)
		age := time.Since(h.board.Confirmation.Load().At)
		assert.Check(t, age >= 2*delay, "%s, of two reads in a row", age)
	})
}

// Guards against ending an evacuation by an older copy of the store that a host reads for itself.
func TestDirectReadOfAnOlderCopyEndsNoEvacuation(t *testing.T) {
	withoutPeers(t, func(fl *fleet, h *host, cut func()) {
		fl.record.Evacuate("z1")
		time.Sleep(time.Second)
		h.c.mu.Lock()
		defer h.c.mu.Unlock()
		now := time.Now()
		newer := directory.NewRevision(h.c.state.Newest().Era()+1, 5)
		copied := directory.Changes{Revision: newer, AllEvacuations: newer}
		targets := directory.Changes{Revision: newer}
		h.c.mergeDirect(now, now, copied, targets, true)
		_, evacuated := h.board.Evacuations.Load().Zones["z1"]
		assert.Check(t, evacuated)
		assert.Equal(t, h.c.direct.configAt, directory.Revision(0), "the ends left out have to be read again")
	})
}

// Guards against calls of all hosts to a store that answers nobody; each is paid for.
func TestSilentStoreIsNotReadByAll(t *testing.T) {
	withFleet(t, 100, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Unresponsive)
		}
		time.Sleep(20 * time.Second)
		var reads int64
		for _, h := range fl.hosts {
			reads += h.c.count.directReads.Value()
		}
		assert.Check(t, reads <= 10, "%d reads", reads)
		assert.Check(t, len(fl.hosts) > 0)
	})
}

// Guards against reads of all hosts at once: a change reaches one host of a hundred, and the reads
// of the others are spread over as many milliseconds as there are hosts.
func TestDirectReadsOfAllHostsAreSpread(t *testing.T) {
	var cut atomic.Bool
	setUp := func(fl *fleet) {
		fl.net.Drop = func(_, _ peer.HostID, kind peer.Kind) bool { return cut.Load() && kind != kindHeartbeat }
	}
	withNetwork(t, 100, setUp, func(fl *fleet) {
		cut.Store(true)
		before := fl.record.Calls()
		fl.record.PutConfig(config(2))
		most := 0
		for start := time.Now(); time.Since(start) < bound; {
			calls := fl.record.Calls()
			time.Sleep(20 * time.Millisecond)
			most = max(most, fl.record.Calls()-calls)
		}
		for _, h := range fl.hosts {
			assert.Check(t, h.version() == 2, "%s lacks the version", h.addr)
		}
		assert.Check(t, most <= 100, "%d calls within 20 ms", most)
		assert.Check(t, fl.record.Calls()-before <= 4*len(fl.hosts), "%d calls", fl.record.Calls()-before)
	})
}

// Hosts that are slow, cut off one way, frozen or cut off, drawn at random, keep no change from the
// others, as long as these reach the store or one another: the store turns some of them away, too,
// or is slow.
func TestRandomFaultsOfOthersKeepNoChangeFromSoundHosts(t *testing.T) {
	for seed := range uint64(*slowSeeds) {
		withSlowHosts(t, seed, *scaleHosts/5, func(sf *slowFleet) {
			sf.breakOthers()
			if seed%2 == 1 {
				sf.record.SetReplyDelay(150 * time.Millisecond)
			}
			for v := range uint64(slowVersions) {
				i := int(v)
				sf.record.PutConfig(largeConfig(2+v, slowRoutes))
				sf.record.Put(entryOf(i, true))
				late, knew, took := sf.late(func(h *host) bool { return h.version() >= 2+v && !h.routesTo(i) })
				assert.Check(t, len(late) == 0, "seed %d: %d sound hosts, %d of them aware, lack version %d or the drain after %s, the last for %s",
					seed, len(late), knew, 2+v, bound, took)
			}
		})
	}
}

// breakOthers draws a third of the hosts and cuts each off one way or the other, or freezes it. The
// store turns away some of all.
func (sf *slowFleet) breakOthers() {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for _, h := range sf.hosts {
		if sf.rng.IntN(4) == 0 {
			h.client.SetMode([]memstore.Mode{memstore.Refusing, memstore.Unresponsive}[sf.rng.IntN(2)])
		}
	}
	for _, i := range sf.rng.Perm(len(sf.hosts))[:len(sf.hosts)/3] {
		h := sf.hosts[i]
		sf.squeezed[ports.HostID(h.addr)] = true
		out, in := sf.rng.IntN(3) != 0, sf.rng.IntN(3) != 0
		if out && in {
			h.client.SetMode(memstore.Unresponsive)
		}
		for _, other := range sf.hosts {
			if out {
				sf.net.Block(ports.HostID(h.addr), ports.HostID(other.addr))
			}
			if in {
				sf.net.Block(ports.HostID(other.addr), ports.HostID(h.addr))
			}
		}
	}
}

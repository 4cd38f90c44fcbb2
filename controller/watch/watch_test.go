package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/fakes/record"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// bound is the time in which a change must be known everywhere.
const bound = 2 * time.Second

const service = "bids"

var key = blackboard.ServiceKey{Workspace: routing.Workspace, Service: service}

// fleet is hosts with one record, in virtual time.
type fleet struct {
	t      *testing.T
	net    *peernet.Network
	record *record.Record
	hosts  []*host
	seeds  []string
	// messages counts those between hosts, replies too.
	messages atomic.Int64
}

type host struct {
	addr   string
	client *record.Client
	board  *blackboard.Board
	c      *Controller
	stop   context.CancelFunc
}

// withFleet runs f with n hosts that have been up for five seconds.
func withFleet(t *testing.T, n int, f func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t: t, net: peernet.New(), record: record.New(5 * time.Millisecond)}
		fl.net.Delay = func(ports.HostID, ports.HostID) time.Duration {
			fl.messages.Add(1)
			return time.Millisecond
		}
		fl.record.Configure(config(1))
		for i := range 10 {
			fl.record.Put(entryOf(i, false))
		}
		for i := range 3 {
			fl.seeds = append(fl.seeds, addr(i))
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range n {
			fl.start(i, false)
			time.Sleep(time.Duration(rng.Int64N(int64(300*time.Millisecond) / int64(n))))
		}
		time.Sleep(5 * time.Second)
		f(fl)
		for _, h := range fl.hosts {
			h.stop()
		}
		time.Sleep(5 * time.Second) // messages under way arrive
		synctest.Wait()
	})
}

func addr(i int) string { return fmt.Sprintf("10.0.%d.%d:8649", i/200, i%200+1) }

func zone(i int) string { return fmt.Sprint("z", i%3) }

func config(version uint64) *routing.Config {
	return &routing.Config{Version: version, Services: []routing.Service{{Name: service}}}
}

func targetID(i int) ports.HostID { return ports.HostID(fmt.Sprintf("t%02d", i)) }

func entryOf(i int, draining bool) directory.Target {
	return directory.Target{ID: targetID(i), Service: service, Addr: "10.1.0.1:80", Slots: 2, Draining: draining}
}

func (fl *fleet) start(i int, hurry bool) *host {
	h := &host{addr: addr(i), client: fl.record.Client(), board: blackboard.New()}
	link := fl.net.Join(ports.HostID(h.addr))
	h.c = New(Deps{
		Self:    directory.Host{Addr: h.addr, Zone: zone(i), Start: time.Now().UnixNano()},
		Seeds:   fl.seeds,
		Hurry:   hurry,
		Source:  h.client,
		Link:    link,
		Reach:   link,
		Board:   h.board,
		Metrics: metrics.New(),
		Log:     zap.NewNop(),
		Seed:    uint64(i),
	})
	ctx, cancel := context.WithCancel(fl.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.c.Run(ctx)
	}()
	h.stop = func() {
		fl.net.Leave(ports.HostID(h.addr))
		cancel()
		<-done
		_ = h.board.Close()
	}
	fl.hosts = append(fl.hosts, h)
	return h
}

func (h *host) watches() bool {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.c.watch != nil
}

func (h *host) version() uint64 {
	if t := h.board.Routes.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// takes reports whether the host would send a call to a target.
func (h *host) takes(i int) bool {
	for _, t := range h.board.Targets.Load().ByService[key] {
		if t.ID == targetID(i) {
			return !t.Leaving
		}
	}
	return false
}

func (fl *fleet) watching() []*host {
	var out []*host
	for _, h := range fl.hosts {
		if h.watches() {
			out = append(out, h)
		}
	}
	return out
}

// freeze cuts a host off from everybody, as one that is stopped: nothing it would
// say arrives, and the store does not hear it either.
func (fl *fleet) freeze(h *host) {
	h.client.Set(record.Silent)
	for _, other := range fl.hosts {
		fl.net.Cut(ports.HostID(h.addr), ports.HostID(other.addr))
		fl.net.Cut(ports.HostID(other.addr), ports.HostID(h.addr))
	}
}

// await returns how long it takes until all hosts but some satisfy a condition.
func (fl *fleet) await(but []*host, ok func(h *host) bool) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		all := true
		for _, h := range fl.hosts {
			if !contains(but, h) && !ok(h) {
				all = false
			}
		}
		if all {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

func contains(list []*host, h *host) bool {
	for _, other := range list {
		if other == h {
			return true
		}
	}
	return false
}

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
		var behind *host
		for _, h := range fl.hosts {
			if !h.watches() {
				behind = h
			}
		}
		for _, h := range fl.watching() {
			fl.net.Cut(ports.HostID(h.addr), ports.HostID(behind.addr))
		}
		fl.record.Put(entryOf(3, true))
		time.Sleep(120 * time.Millisecond)
		fl.net.Heal()
		fl.record.Put(entryOf(4, true))
		took := fl.await(nil, func(h *host) bool { return !h.takes(3) && !h.takes(4) })
		assert.Check(t, took < bound, "known after %s", took)
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

// knows reports whether the host lists another one.
func (h *host) knows(addr string) bool {
	for _, m := range h.board.Members.Load().Members {
		if m.Host.PeerAddr == addr {
			return true
		}
	}
	return false
}

// Three hosts go for good, and others come at new addresses. Those that went must leave
// the list of every host: each host's part of the questions, of the connections and of the
// further attempts is an even share of that list, and after a month of replacements
// hardly anything would be left.
func TestHostsThatAreGoneLeaveTheList(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		var went []*host
		went, fl.hosts = fl.hosts[2:5], append(fl.hosts[:2:2], fl.hosts[5:]...)
		for _, h := range went {
			h.stop()
		}
		for i := range 3 {
			fl.start(14+i, true)
		}
		time.Sleep(watchers.LeftOutAfter / 2)
		for _, h := range fl.hosts {
			assert.Check(t, h.knows(went[0].addr), "%s took a host that may be starting again off its list", h.addr)
		}
		time.Sleep(watchers.LeftOutAfter)
		for _, h := range fl.hosts {
			assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
		}
	})
}

// A host that went for long starts again at its address, and another one comes back from
// behind a cut without a start. Both must be on every list soon after, and stay on it.
func TestHostsThatComeBackAreListedAgain(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		stopped, cut := fl.hosts[4], fl.hosts[5]
		stopped.stop()
		fl.hosts = append(fl.hosts[:4:4], fl.hosts[5:]...)
		fl.freeze(cut)
		time.Sleep(2 * watchers.LeftOutAfter)
		for _, h := range fl.hosts {
			assert.Equal(t, h.knows(cut.addr), h == cut, "%s", h.addr)
		}
		fl.net.Heal()
		cut.client.Set(record.Serves)
		fl.start(4, true)
		for range 20 {
			time.Sleep(3 * time.Second)
			for _, h := range fl.hosts {
				assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
			}
		}
	})
}

// Two hosts are cut off from the others for minutes, but not from the store. They must
// not take the others off their list: with each side alone on its own list nobody would
// find the other again.
func TestFewHostsBehindACutKeepTheOthersOnTheirList(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		few := fl.hosts[:2]
		for _, a := range few {
			for _, b := range fl.hosts[2:] {
				fl.net.Cut(ports.HostID(a.addr), ports.HostID(b.addr))
				fl.net.Cut(ports.HostID(b.addr), ports.HostID(a.addr))
			}
		}
		time.Sleep(3 * watchers.LeftOutAfter)
		assert.Equal(t, len(few[0].board.Members.Load().Members), 14)
		fl.net.Heal()
		time.Sleep(5 * time.Second)
		for _, h := range fl.hosts {
			assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
		}
		assert.Equal(t, len(fl.watching()), watchers.Wanted)
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

// The store is out for all hosts, silent or refusing, for eight seconds. Calls are paid
// for, and one that is coming back must not meet the calls of all hosts: they are to find
// out by a few tries that it is out, and then to try it now and then. Once it is back
// everything must be known soon.
func TestOutageIsMetWithFewCalls(t *testing.T) {
	for _, n := range []int{14, 121} {
		for _, mode := range []record.Mode{record.Refuses, record.Silent} {
			withFleet(t, n, func(fl *fleet) {
				for _, h := range fl.hosts {
					h.client.Set(mode)
				}
				before := fl.record.Calls()
				time.Sleep(8 * time.Second)
				calls := fl.record.Calls() - before
				assert.Check(t, calls < 160, "%d calls of %d hosts in mode %d", calls, n, mode)
				fl.record.Put(entryOf(3, true))
				for _, h := range fl.hosts {
					h.client.Set(record.Serves)
				}
				took := fl.await(nil, func(h *host) bool { return !h.takes(3) })
				assert.Check(t, took < time.Second, "known %s after the return", took)
				time.Sleep(3 * time.Second)
				assert.Equal(t, len(fl.watching()), watchers.Wanted)
			})
		}
	}
}

// The store turns away every host but four, for long. One of the four must be found soon
// enough that all know of a leaving target in time.
func TestOneServedHostIsFoundAmongMany(t *testing.T) {
	for _, n := range []int{14, 60} {
		withFleet(t, n, func(fl *fleet) {
			away := fl.watching()
			for _, h := range fl.hosts {
				if len(away) < n-4 && !h.watches() {
					away = append(away, h)
				}
			}
			for _, h := range away {
				h.client.Set(record.Silent)
			}
			time.Sleep(10 * time.Second)
			fl.record.Put(entryOf(3, true))
			took := fl.await(nil, func(h *host) bool { return !h.takes(3) })
			assert.Check(t, took < bound, "%d hosts: known after %s", n, took)
		})
	}
}

// The store is out for longer than targets' entries live, so that they lapse. When
// it is back the targets that live list themselves again within two seconds. Until
// then callers must not be refused for want of targets; after it the one that did
// not come back must be taken as gone.
func TestTargetsWhoseEntriesLapsedAreUsedUntilTheyAreBack(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.Set(record.Refuses)
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			fl.record.Remove(targetID(i))
		}
		time.Sleep(2 * time.Second)
		for _, h := range fl.hosts {
			h.client.Set(record.Serves)
		}
		back := time.Now()
		for i := range 9 {
			time.Sleep(200 * time.Millisecond)
			for _, h := range fl.hosts {
				assert.Check(t, h.takes(9) && h.takes(i), "%s after the return", time.Since(back))
			}
			fl.record.Put(entryOf(i, false))
		}
		time.Sleep(2*time.Second + returnHold - time.Since(back))
		for _, h := range fl.hosts {
			assert.Check(t, h.takes(0) && h.takes(8))
			assert.Check(t, !h.takes(9), "the target that is gone is still used")
		}
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

// The store is out and a host starts. It must learn the configuration and the
// targets from the others.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.Set(record.Refuses)
		}
		time.Sleep(time.Second)
		h := fl.start(20, true)
		h.client.Set(record.Refuses)
		time.Sleep(time.Second)
		assert.Equal(t, h.version(), uint64(1))
		assert.Check(t, h.takes(0))
	})
}

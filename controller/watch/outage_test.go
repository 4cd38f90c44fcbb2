package watch

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
)

// Guards against calls by all hosts while the store is down for all of them, silent or refusing:
// calls are paid for, and would meet the store as it recovers. A few attempts have to establish
// that it is down, followed by occasional ones. After its return changes must be known soon.
func TestOutageIsMetWithFewCalls(t *testing.T) {
	for _, n := range []int{14, 121} {
		for _, mode := range []memstore.Mode{memstore.Refusing, memstore.Unresponsive} {
			withFleet(t, n, func(fl *fleet) {
				for _, h := range fl.hosts {
					h.client.SetMode(mode)
				}
				before := fl.record.Calls()
				time.Sleep(8 * time.Second)
				calls := fl.record.Calls() - before
				assert.Check(t, calls < 160, "%d calls of %d hosts in mode %d", calls, n, mode)
				fl.record.Put(entryOf(3, true))
				for _, h := range fl.hosts {
					h.client.SetMode(memstore.Serving)
				}
				took := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
				assert.Check(t, took < time.Second, "known %s after the return", took)
				time.Sleep(3 * time.Second)
				assert.Equal(t, len(fl.watching()), watchers.WantedWatchers)
			})
		}
	}
}

// Guards against a slow store that no host manages to watch: the watchers are gone, and answers
// take at least half a second. If each host that took over gave up after 0.3 s and the next
// began with 0.3 s again, no host would learn of new routes. Later attempts, at whichever host,
// have to wait longer.
func TestSlowStoreIsTakenOver(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, time.Second} {
		for _, n := range []int{14, 121} {
			withFleet(t, n, func(fl *fleet) {
				frozen := fl.watching()
				for _, h := range frozen {
					fl.isolate(h)
				}
				fl.record.SetReplyDelay(lag)
				fl.record.PutConfig(config(2))
				took := fl.await(frozen, func(h *host) bool { return h.version() == 2 })
				t.Logf("%d hosts, answers after %s: in force after %s", n, lag, took)
				assert.Check(t, took < slowStoreBound, "%d hosts, answers after %s: in force after %s", n, lag, took)
			})
		}
	}
}

// slowStoreBound is the time within which a change must be known everywhere while the store is
// slow, for which the platform allows 5 s more.
const slowStoreBound = bound + 5*time.Second

// The store rejects all hosts but four for a long time. One of the four must be found soon
// enough for all to learn of a leaving target in time.
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
				h.client.SetMode(memstore.Unresponsive)
			}
			time.Sleep(10 * time.Second)
			fl.record.Put(entryOf(3, true))
			took := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
			assert.Check(t, took < bound, "%d hosts: known after %s", n, took)
		})
	}
}

// Guards against refusing callers for lack of targets after an outage in which the targets'
// entries expired: targets that are alive list themselves again within two seconds of the
// store's return. One that does not must then count as gone.
func TestTargetsWhoseEntriesLapsedAreUsedUntilTheyAreBack(t *testing.T) {
	checkExpiredTargets(t, func(*host) {})
}

// Guards against concluding that the store was not down because it still answered about the
// configuration.
func TestTargetsThatLapsedWhileTheirTableAloneWasOutAreUsed(t *testing.T) {
	checkExpiredTargets(t, func(h *host) { h.client.ExemptTopic(directory.TopicConfig) })
}

// checkExpiredTargets runs an outage of the store in which entries expire, after a setup for
// each host.
func checkExpiredTargets(t *testing.T, setUp func(h *host)) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			setUp(h)
		}
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Refusing)
		}
		time.Sleep(2 * time.Second)
		for i := range 10 {
			fl.record.Remove(targetID(i))
		}
		time.Sleep(2 * time.Second)
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Serving)
		}
		back := time.Now()
		for i := range 9 {
			time.Sleep(200 * time.Millisecond)
			for _, h := range fl.hosts {
				assert.Check(t, h.routesTo(9) && h.routesTo(i), "%s after the return", time.Since(back))
			}
			fl.record.Put(entryOf(i, false))
		}
		time.Sleep(2*time.Second + returnHold - time.Since(back))
		for _, h := range fl.hosts {
			assert.Check(t, h.routesTo(0) && h.routesTo(8))
			assert.Check(t, !h.routesTo(9), "the target that is gone is still used")
		}
	})
}

// A host that starts while the store is down must learn the configuration and the targets from
// the others.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Refusing)
		}
		time.Sleep(time.Second)
		h := fl.start(20, true)
		h.client.SetMode(memstore.Refusing)
		time.Sleep(time.Second)
		assert.Equal(t, h.version(), uint64(1))
		assert.Check(t, h.routesTo(0))
	})
}

// Guards against using a removed target for longer than a drain allows: hosts whose own links
// were saturated took the store for one that had been down.
func TestShortSilenceOfTheStoreHoldsNoTargetThatIsGone(t *testing.T) {
	withFleet(t, 30, func(fl *fleet) {
		for _, silent := range []time.Duration{400 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			for _, h := range fl.hosts {
				h.client.SetMode(memstore.Unresponsive)
			}
			time.Sleep(silent)
			for _, h := range fl.hosts {
				h.client.SetMode(memstore.Serving)
			}
			fl.record.Put(entryOf(3, false))
			fl.await(nil, func(h *host) bool { return h.routesTo(3) })
			fl.record.Remove(targetID(3))
			gone := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
			t.Logf("silent for %s: gone after %s", silent, gone)
			assert.Check(t, gone < 2*time.Second, "%s", gone)
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against using a removed target because a short silence seemed long: it began well after
// the last answer of the store, and its end went unnoticed while calls that would never be
// answered ran into their timeouts.
func TestShortSilenceIsNoOutageWheneverItBegins(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for phase := time.Duration(0); phase <= watchers.WatchTimeout; phase += 100 * time.Millisecond {
			fl.awaitPoll()
			time.Sleep(phase)
			fl.setModes(memstore.Unresponsive)
			time.Sleep(1500 * time.Millisecond)
			fl.setModes(memstore.Serving)
			fl.record.Put(entryOf(3, false))
			fl.await(nil, func(h *host) bool { return h.routesTo(3) })
			fl.record.Remove(targetID(3))
			gone := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
			assert.Check(t, gone < 2*time.Second, "begun %s after an answer: gone after %s", phase, gone)
			time.Sleep(10 * time.Second)
		}
		for _, h := range fl.hosts {
			assert.Check(t, h.c.count.outages.Value() == 0, "%s: %s", h.addr, h.c.count.outages)
		}
	})
}

// awaitPoll waits until the store has just answered the first watcher about targets.
func (fl *fleet) awaitPoll() {
	first := slices.MinFunc(fl.watching(), func(a, b *host) int { return cmp.Compare(a.c.rank(), b.c.rank()) })
	first.c.mu.Lock()
	w := first.c.watch
	first.c.mu.Unlock()
	for last := w.lastOK[directory.TopicTargets].Load(); w.lastOK[directory.TopicTargets].Load() == last; {
		time.Sleep(time.Millisecond)
	}
}

// setModes sets how the store treats the calls of all hosts.
func (fl *fleet) setModes(m memstore.Mode) {
	for _, h := range fl.hosts {
		h.client.SetMode(m)
	}
}

// Guards against using a removed target because the configuration alone was out: the hosts that
// do not watch took that for an outage of the targets' table as well.
func TestOutageOfTheConfigurationHoldsNoTargetThatIsGone(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.ExemptTopic(directory.TopicTargets)
		}
		fl.setModes(memstore.Refusing)
		time.Sleep(5 * time.Second)
		fl.setModes(memstore.Serving)
		time.Sleep(300 * time.Millisecond)
		fl.record.Remove(targetID(3))
		gone := fl.await(nil, func(h *host) bool { return !h.routesTo(3) })
		assert.Check(t, gone < 2*time.Second, "%s", gone)
	})
}

// Guards against dropping targets whose entries expired because a host that started during the
// outage, and does not know of it, forwards their removal.
func TestHostsThatStartInAnOutageDropNoTargets(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Refusing)
		}
		time.Sleep(4 * time.Second)
		fl.record.Remove(targetID(0))
		old := slices.Clone(fl.hosts[7:])
		for _, h := range fl.hosts[:7] {
			h.stop()
		}
		fl.hosts = slices.Clone(old)
		for i := range 7 {
			h := fl.start(i, true)
			h.client.SetMode(memstore.Refusing)
		}
		time.Sleep(time.Second)
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Serving)
		}
		for begin := time.Now(); time.Since(begin) < 1800*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			for _, h := range old {
				assert.Assert(t, h.routesTo(0), "%s after the return", time.Since(begin))
			}
		}
		gone := fl.await(nil, func(h *host) bool { return !h.routesTo(0) })
		assert.Check(t, gone < 2*time.Second, "%s", gone)
	})
}

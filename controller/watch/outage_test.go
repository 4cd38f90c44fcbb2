package watch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/fakes/record"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
)

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
				assert.Equal(t, len(fl.watching()), watchers.WantedWatchers)
			})
		}
	}
}

// Callers of routes that were added are turned away by all hosts, for as long as links are full:
// the hosts that watched are gone, and answers of the store take half a second to all others.
// Each that took over gave up after 0.3 s, and the next began with 0.3 s again, so that nobody
// heard of anything. Later tries must wait for longer, at whatever host they are made.
func TestSlowStoreIsTakenOver(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, time.Second} {
		for _, n := range []int{14, 121} {
			withFleet(t, n, func(fl *fleet) {
				frozen := fl.watching()
				for _, h := range frozen {
					fl.freeze(h)
				}
				fl.record.SetLag(lag)
				fl.record.Configure(config(2))
				took := fl.await(frozen, func(h *host) bool { return h.version() == 2 })
				t.Logf("%d hosts, answers after %s: in force after %s", n, lag, took)
				assert.Check(t, took < slowBound, "%d hosts, answers after %s: in force after %s", n, lag, took)
			})
		}
	}
}

// slowBound is the time in which a change must be known everywhere while the store is slow, which
// the platform allows to be 5 s more.
const slowBound = bound + 5*time.Second

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
	checkLapsedTargets(t, func(*host) {})
}

// Guards against taking a store that still tells of configurations for one that had not been out.
func TestTargetsThatLapsedWhileTheirTableAloneWasOutAreUsed(t *testing.T) {
	checkLapsedTargets(t, func(h *host) { h.client.Spare(directory.TopicConfig) })
}

// checkLapsedTargets has the store turn away all hosts, set up beforehand.
func checkLapsedTargets(t *testing.T, setUp func(h *host)) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			setUp(h)
		}
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

// Guards against using a target that is gone for longer than drains allow, since hosts whose own links
// were full took the store for one that had been out.
func TestShortSilenceOfTheStoreHoldsNoTargetThatIsGone(t *testing.T) {
	withFleet(t, 30, func(fl *fleet) {
		for _, silent := range []time.Duration{400 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			for _, h := range fl.hosts {
				h.client.Set(record.Silent)
			}
			time.Sleep(silent)
			for _, h := range fl.hosts {
				h.client.Set(record.Serves)
			}
			fl.record.Put(entryOf(3, false))
			fl.await(nil, func(h *host) bool { return h.takes(3) })
			fl.record.Remove(targetID(3))
			gone := fl.await(nil, func(h *host) bool { return !h.takes(3) })
			t.Logf("silent for %s: gone after %s", silent, gone)
			assert.Check(t, gone < 2*time.Second, "%s", gone)
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against dropping targets whose entries ran out, on the word of a host that started while the
// store was out and knows of no outage.
func TestHostsThatStartInAnOutageDropNoTargets(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.client.Set(record.Refuses)
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
			h.client.Set(record.Refuses)
		}
		time.Sleep(time.Second)
		for _, h := range fl.hosts {
			h.client.Set(record.Serves)
		}
		for begin := time.Now(); time.Since(begin) < 1800*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			for _, h := range old {
				assert.Assert(t, h.takes(0), "%s after the return", time.Since(begin))
			}
		}
		gone := fl.await(nil, func(h *host) bool { return !h.takes(0) })
		assert.Check(t, gone < 2*time.Second, "%s", gone)
	})
}

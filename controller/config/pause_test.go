package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// A host is paused for a minute while a change is accepted. At the first
// instant after the pause it is not fresh; it serves again only with the new
// configuration.
func TestPausedHostConfirmsBeforeItServes(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()[2]
		f.Isolate(h)
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		h.AdvanceClock(time.Minute)
		assert.Check(t, !h.Controller.Fresh())
		pass(300 * time.Millisecond)
		assertReady(t, false, h)
		f.Heal()
		pass(bound)
		assertReady(t, true, h)
		assertSequences(t, f, 1)
	})
}

// A host is paused for less than a confirmation holds, with a read of the table
// on its way. The answer comes after the pause but tells of the time before it,
// so the host does not serve until it has asked again.
func TestAnswerFromBeforeThePauseDoesNotCount(t *testing.T) {
	const answerTime = 500 * time.Millisecond
	for phase := range 20 {
		onFleet(t, 1, func(t *testing.T, f *confignet.Fleet) {
			f.Store.SetFaults(store.Faults{Delay: answerTime})
			pass(10*time.Second + time.Duration(phase)*50*time.Millisecond)
			h := f.Hosts()[0]
			assertReady(t, true, h)
			h.AdvanceClock(config.DefaultTimings().Pause + 100*time.Millisecond)
			pass(config.DefaultTimings().Tick)
			woke := h.Metrics.Map("config_events").Get("pauses").String()
			assert.Equal(t, woke, "1")
			assertReady(t, false, h)
			pass(answerTime / 2)
			assertReady(t, false, h)
			pass(answerTime)
			assertReady(t, true, h)
		})
	}
}

// Every host is paused at once and the store is out when they wake. No host is
// confirmed, but more than half of them together hold the newest change.
func TestFleetThatWasPausedTogetherConfirmsByMajority(t *testing.T) {
	onFleet(t, 5, func(t *testing.T, f *confignet.Fleet) {
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		pass(time.Second)
		setFaults(f, true)
		for _, h := range f.Hosts() {
			h.AdvanceClock(time.Minute)
		}
		f.CutPeers(f.Hosts()[4])
		pass(bound)
		assertReady(t, true, f.Hosts()[:4]...)
		assertReady(t, false, f.Hosts()[4])
	})
}

// A host is cut off from everything. Its callers would be served by an ever
// older view, so it is not ready once its confirmation lapses.
func TestCutOffHostLapses(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()[0]
		f.Isolate(h)
		pass(config.DefaultTimings().Lapse + config.DefaultTimings().Tick)
		assertReady(t, false, h)
		assertReady(t, true, f.Hosts()[1:]...)
	})
}

// Two hosts of four or five are cut off from the store and from the others, but not from
// each other. Each asks the other, which is confirmed by the first, and takes that for
// news of this moment: callers of both are served by the configuration of the day of the
// cut, without an end. What one passes on is no younger than what it heard.
func TestTwoHostsThatAreCutOffTogetherLapse(t *testing.T) {
	for _, hosts := range []int{4, 5} {
		onFleet(t, hosts, func(t *testing.T, f *confignet.Fleet) {
			cut, others := f.Hosts()[:2], f.Hosts()[2:]
			cutOffTogether(f, cut, others)
			pass(config.DefaultTimings().Lapse + config.DefaultTimings().Tick)
			assertReady(t, false, cut...)
			change(t, others[0], "c1", 0, 7, config.ResultApplied)
			pass(10 * config.DefaultTimings().Lapse)
			assertReady(t, false, cut...)
			assertReady(t, true, others...)
		})
	}
}

// cutOffTogether cuts hosts off from the store and from others, not from one another.
func cutOffTogether(f *confignet.Fleet, cut, others []*confignet.Host) {
	for _, h := range cut {
		h.CutPlatform()
		for _, o := range others {
			f.CutLink(h, o)
			f.CutLink(o, h)
		}
	}
}

// In a rolling update a new host is cut off with an old one, which says that it is
// confirmed but not how old its evidence is. A field that is missing reads as zero: taken
// for the age, it would make the old host's word news of this moment.
func TestWordWithoutAnAgeIsNotNews(t *testing.T) {
	onFleet(t, 5, func(t *testing.T, f *confignet.Fleet) {
		old, fresh, others := f.Hosts()[0], f.Hosts()[1], f.Hosts()[2:]
		old.Controller.AnswerWithoutAge()
		cutOffTogether(f, []*confignet.Host{old, fresh}, others)
		pass(config.DefaultTimings().Lapse + config.DefaultTimings().Tick)
		assertReady(t, false, fresh)
	})
}

// All but a few hosts are old ones, and a large fleet leaves the store to some of its
// hosts: the others have evidence only from peers that tell no age. More than half of all
// hosts confirm them; no host is unready for a moment, with the store or without.
func TestHostAmongOldOnesStaysReady(t *testing.T) {
	onFleet(t, 60, func(t *testing.T, f *confignet.Fleet) {
		for _, h := range f.Hosts()[:50] {
			h.Controller.AnswerWithoutAge()
		}
		assertStaysReady(t, 10*time.Second, f.Hosts())
		setFaults(f, true)
		assertStaysReady(t, 30*time.Second, f.Hosts())
	})
}

// The store is out and just less than half of the hosts are lost: they are still listed,
// and questions to them end only by the time limit. Those that are left are more than
// half, and none is unready for a moment.
func TestMajorityStaysReadyWithoutTheStore(t *testing.T) {
	for _, hosts := range []int{3, 5, 33, 75} {
		for _, hang := range []bool{false, true} {
			onFleet(t, hosts, func(t *testing.T, f *confignet.Fleet) {
				change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
				pass(5 * time.Second)
				lost, left := f.Hosts()[:(hosts-1)/2], f.Hosts()[(hosts-1)/2:]
				cutOffTogether(f, lost, left)
				if hang {
					for _, h := range left {
						h.CutPlatform()
					}
				}
				setFaults(f, true)
				assertStaysReady(t, 12*time.Second, left)
			})
		}
	}
}

// assertStaysReady looks at the hosts all the time for a while.
func assertStaysReady(t *testing.T, d time.Duration, hosts []*confignet.Host) {
	t.Helper()
	const step = 25 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); pass(step) {
		for _, h := range hosts {
			assert.Assert(t, h.Ready() && h.Controller.Fresh(), "host %s of %d", h.ID, len(hosts))
		}
	}
}

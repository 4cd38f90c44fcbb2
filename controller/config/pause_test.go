package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// A host is paused for a minute while a change is accepted. Directly after the pause it
// is not fresh, and it becomes ready again only with the new configuration.
func TestPausedHostConfirmsBeforeItServes(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()[2]
		f.Isolate(h)
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		h.AdvanceClock(time.Minute)
		assert.Check(t, !h.Controller.Fresh())
		advanceTime(300 * time.Millisecond)
		assertReady(t, false, h)
		f.Heal()
		advanceTime(propagationBound)
		assertReady(t, true, h)
		assertSequences(t, f, 1)
	})
}

// A host is paused for less than a confirmation is valid, with a read of the table in
// flight. The reply arrives after the pause but reflects the state before it, so the host
// must not become ready until it has read again.
func TestAnswerFromBeforeThePauseDoesNotCount(t *testing.T) {
	const answerTime = 500 * time.Millisecond
	for phase := range 20 {
		onFleet(t, 1, func(t *testing.T, f *confignet.Fleet) {
			f.Store.SetFaults(store.Faults{Delay: answerTime})
			advanceTime(10*time.Second + time.Duration(phase)*50*time.Millisecond)
			h := f.Hosts()[0]
			assertReady(t, true, h)
			h.AdvanceClock(config.DefaultTimings().PauseThreshold + 100*time.Millisecond)
			advanceTime(config.DefaultTimings().ClockInterval)
			pauses := h.Metrics.Map("config_events").Get("pauses").String()
			assert.Equal(t, pauses, "1")
			assertReady(t, false, h)
			advanceTime(answerTime / 2)
			assertReady(t, false, h)
			advanceTime(answerTime)
			assertReady(t, true, h)
		})
	}
}

// All hosts are paused at once, and the store is down when they resume. No host is
// confirmed, but a majority of them together has the newest change.
func TestFleetThatWasPausedTogetherConfirmsByMajority(t *testing.T) {
	onFleet(t, 5, func(t *testing.T, f *confignet.Fleet) {
		change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
		advanceTime(time.Second)
		setStoreDown(f, true)
		for _, h := range f.Hosts() {
			h.AdvanceClock(time.Minute)
		}
		f.CutPeers(f.Hosts()[4])
		advanceTime(propagationBound)
		assertReady(t, true, f.Hosts()[:4]...)
		assertReady(t, false, f.Hosts()[4])
	})
}

// A host loses all connections. It would serve an increasingly outdated configuration, so
// it must become unready once its confirmation expires.
func TestCutOffHostLapses(t *testing.T) {
	onFleet(t, 3, func(t *testing.T, f *confignet.Fleet) {
		h := f.Hosts()[0]
		f.Isolate(h)
		advanceTime(config.DefaultTimings().ConfirmationTTL + config.DefaultTimings().ClockInterval)
		assertReady(t, false, h)
		assertReady(t, true, f.Hosts()[1:]...)
	})
}

// Two hosts out of four or five lose the store and the other hosts, but still reach each
// other. If each counted the other's confirmation as new, they would confirm each other
// and serve an outdated configuration indefinitely. A confirmation passed on is no
// younger than the one received.
func TestTwoHostsThatAreCutOffTogetherLapse(t *testing.T) {
	for _, hosts := range []int{4, 5} {
		onFleet(t, hosts, func(t *testing.T, f *confignet.Fleet) {
			cut, others := f.Hosts()[:2], f.Hosts()[2:]
			isolateGroup(f, cut, others)
			advanceTime(config.DefaultTimings().ConfirmationTTL + config.DefaultTimings().ClockInterval)
			assertReady(t, false, cut...)
			change(t, others[0], "c1", 0, 7, config.ResultApplied)
			advanceTime(10 * config.DefaultTimings().ConfirmationTTL)
			assertReady(t, false, cut...)
			assertReady(t, true, others...)
		})
	}
}

// isolateGroup cuts hosts off from the store and from others, but not from one another.
func isolateGroup(f *confignet.Fleet, cut, others []*confignet.Host) {
	for _, h := range cut {
		h.CutPlatform()
		for _, o := range others {
			f.CutLink(h, o)
			f.CutLink(o, h)
		}
	}
}

// During a rolling update a new host is cut off together with one of an older release,
// which reports that it is confirmed but not since when. The missing field decodes as
// zero. If that counted as the age, the old host's reply would confirm the new host as of
// now.
func TestReplyWithoutAgeDoesNotConfirm(t *testing.T) {
	onFleet(t, 5, func(t *testing.T, f *confignet.Fleet) {
		old, fresh, others := f.Hosts()[0], f.Hosts()[1], f.Hosts()[2:]
		old.Controller.ReplyWithoutAge()
		isolateGroup(f, []*confignet.Host{old, fresh}, others)
		advanceTime(config.DefaultTimings().ConfirmationTTL + config.DefaultTimings().ClockInterval)
		assertReady(t, false, fresh)
	})
}

// Most hosts run an older release that doesn't report the age of its confirmation. In a
// large fleet only some hosts poll the store; the others can be confirmed only by peers,
// here by a majority of all hosts. No host may become unready at any time, with the store
// or without.
func TestHostAmongOlderReleasesStaysReady(t *testing.T) {
	onFleet(t, 60, func(t *testing.T, f *confignet.Fleet) {
		for _, h := range f.Hosts()[:50] {
			h.Controller.ReplyWithoutAge()
		}
		assertStaysReady(t, 10*time.Second, f.Hosts())
		setStoreDown(f, true)
		assertStaysReady(t, 30*time.Second, f.Hosts())
	})
}

// The store is down and just less than half of the hosts have failed. They are still
// listed, so queries to them run into the timeout. The remaining hosts are a majority,
// and none may become unready at any time.
func TestMajorityStaysReadyWithoutTheStore(t *testing.T) {
	for _, hosts := range []int{3, 5, 33, 75} {
		for _, hang := range []bool{false, true} {
			onFleet(t, hosts, func(t *testing.T, f *confignet.Fleet) {
				change(t, f.Hosts()[0], "c1", 0, 7, config.ResultApplied)
				advanceTime(5 * time.Second)
				lost, left := f.Hosts()[:(hosts-1)/2], f.Hosts()[(hosts-1)/2:]
				isolateGroup(f, lost, left)
				if hang {
					for _, h := range left {
						h.CutPlatform()
					}
				}
				setStoreDown(f, true)
				assertStaysReady(t, 12*time.Second, left)
			})
		}
	}
}

// assertStaysReady checks continuously for a duration that the hosts are ready.
func assertStaysReady(t *testing.T, d time.Duration, hosts []*confignet.Host) {
	t.Helper()
	const step = 25 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); advanceTime(step) {
		for _, h := range hosts {
			assert.Assert(t, h.Ready() && h.Controller.Fresh(), "host %s of %d", h.ID, len(hosts))
		}
	}
}

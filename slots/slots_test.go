package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

func TestHostsShareTheSlotsOfATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 2, declare.Service{Slots: 2})
		defer c.close(t)
		seen := map[ports.HostID]int{}
		var grants []pick.Grant
		for _, h := range c.hosts {
			g, _ := h.pickFor(time.Second, pick.Request{})
			seen[g.Target().ID]++
			grants = append(grants, g)
		}
		synctest.Wait()
		assert.Equal(t, len(seen), 2, "%v", seen)
		assert.Equal(t, c.hosts[0].inFlight(), 3)
		for _, g := range grants {
			g.Release(pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1})
		}
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.hosts[0].inFlight(), 0)
	})
}

// The coordinator is partitioned from a host in both directions while calls arrive. Only the
// first call waits a few milliseconds, until the host falls back to its own choice. After the
// partition heals, the coordinator decides again and its state includes what was started
// meanwhile.
func TestUnresponsiveCoordinatorDelaysOneCallByMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 4, declare.Service{Slots: 2})
		defer c.close(t)
		h := c.hosts[1]
		assert.Equal(t, h.call(5*time.Millisecond).Outcome, outcome.Answered)
		c.net.Block("h1", "h0")
		c.net.Block("h0", "h1")
		began := time.Now()
		g, _ := h.pickFor(time.Second, pick.Request{})
		assert.Assert(t, g != nil)
		waited := time.Since(began)
		assert.Check(t, waited <= 6*time.Millisecond, "waited %s", waited)
		began = time.Now()
		assert.Equal(t, h.call(0).Outcome, outcome.Answered)
		assert.Equal(t, time.Since(began), time.Duration(0), "later calls do not wait")
		c.net.UnblockAll()
		time.Sleep(time.Second)
		assert.Equal(t, c.hosts[0].inFlight(), 1)
		g.Release(pick.Report{Class: pick.OK, Latency: time.Second, Load: -1})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.hosts[0].inFlight(), 0)
		assert.Equal(t, h.count("slots_fallbacks"), int64(1))
	})
}

func TestRefusalsComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1, declare.Service{Slots: 1, MaxQueue: 1})
		defer c.close(t)
		h := c.hosts[1]
		for range 30 {
			h.call(20 * time.Millisecond)
		}
		hold := make(chan struct{})
		for range 2 {
			go func() {
				g, _ := h.pickFor(time.Minute, pick.Request{})
				<-hold
				g.Release(pick.Report{Class: pick.OK, Latency: time.Second, Load: -1})
			}()
			time.Sleep(2 * time.Millisecond)
		}
		go h.call(time.Millisecond) // waits in the queue
		time.Sleep(2 * time.Millisecond)
		began := time.Now()
		_, refusal := h.pickFor(time.Second, pick.Request{})
		assert.Equal(t, refusal, outcome.Refuse(outcome.ReasonQueueFull))
		assert.Equal(t, time.Since(began), time.Duration(0))
		_, refusal = c.hosts[0].pickFor(10*time.Millisecond, pick.Request{})
		assert.Equal(t, refusal.Reason, outcome.ReasonDeadline)
		assert.Equal(t, time.Since(began), time.Duration(0))
		close(hold)
		time.Sleep(time.Second)
		assert.Equal(t, c.hosts[0].inFlight(), 0)
	})
}

// The coordinator fails with grants in use and the hosts agree on another one. No call loses
// its response: calls in flight end as usual, and the new coordinator learns of them from their
// hosts.
func TestNewCoordinatorLearnsWhatIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 2, declare.Service{Slots: 2})
		defer c.close(t)
		g, _ := c.hosts[2].pickFor(time.Second, pick.Request{})
		c.net.Leave("h0")
		c.setCoordinator("h1")
		assert.Equal(t, c.hosts[2].call(time.Millisecond).Outcome, outcome.Answered)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.hosts[1].inFlight(), 1)
		g.Release(pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.hosts[1].inFlight(), 0)
		assert.Equal(t, c.hosts[2].count("slots_fallbacks"), int64(0))
	})
}

// A host has known for three seconds that a target is leaving, while the coordinator's list
// lags and it grants that target. The host returns the slot and asks again, so that the caller
// gets the other target.
func TestHostRefusesAGrantForATargetThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 2, declare.Service{Slots: 2})
		defer c.close(t)
		h := c.hosts[1]
		h.board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
			return old.WithLeaving(bids, "t00", time.Now())
		})
		time.Sleep(3 * time.Second)
		var grants []pick.Grant
		for range 3 {
			g, _ := h.pickFor(time.Second, pick.Request{})
			assert.Equal(t, g.Target().ID, ports.HostID("t01"))
			grants = append(grants, g)
		}
		for _, g := range grants {
			g.Release(pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1})
		}
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.hosts[0].inFlight(), 0)
	})
}

// A target's response to one host says that it is draining, seconds before the list does. From
// then on no host gets it, since the coordinator knows.
func TestLeavingHintAtOneHostAppliesToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 3, declare.Service{Slots: 2})
		defer c.close(t)
		g, _ := c.hosts[1].pickFor(time.Second, pick.Request{})
		leaving := g.Target().ID
		g.Release(pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1, LeavingHint: true})
		time.Sleep(5 * time.Millisecond)
		for range 4 {
			g, _ := c.hosts[2].pickFor(time.Second, pick.Request{})
			assert.Check(t, g.Target().ID != leaving)
			defer g.Release(pick.Report{Class: pick.OK, Load: -1})
		}
	})
}

func TestNoTargetAndUnknownServiceAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1, declare.Service{Slots: 1})
		defer c.close(t)
		h := c.hosts[0]
		_, refusal := h.slots.Pick(t.Context(), pick.Request{Service: blackboard.ServiceKey{Workspace: "x"}})
		assert.Equal(t, refusal, outcome.Refuse(outcome.ReasonNoRoute))
		h.board.Targets.Store(&blackboard.Targets{})
		_, refusal = h.pickFor(time.Second, pick.Request{})
		assert.Equal(t, refusal, outcome.Refuse(outcome.ReasonNoTarget))
		assert.Equal(t, h.m.Map("slots_refused").Get("no-target").String(), "1")
	})
}

func TestCanceledPickHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1, declare.Service{Slots: 1})
		defer c.close(t)
		var grants []pick.Grant
		for range 2 {
			g, _ := c.hosts[0].pickFor(time.Second, pick.Request{})
			grants = append(grants, g)
		}
		_, refusal := c.hosts[1].pickFor(20*time.Millisecond, pick.Request{})
		assert.Equal(t, refusal.Reason, outcome.ReasonQueueTimeout)
		for _, g := range grants {
			g.Release(pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1})
		}
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, c.hosts[0].inFlight(), 0)
		assert.Equal(t, c.hosts[1].call(time.Millisecond).Outcome, outcome.Answered)
	})
}

func TestIdleTargetsAreWorthAProbeAtTheCoordinatorOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 2, declare.Service{Slots: 1})
		defer c.close(t)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(c.hosts[1].slots.Stale(time.Now())), 0)
		assert.Equal(t, len(c.hosts[0].slots.Stale(time.Now())), 2)
		c.hosts[0].slots.RecordProbe(bids, "t00", true, 0)
		assert.Equal(t, len(c.hosts[0].slots.Stale(time.Now())), 1)
		g, _ := c.hosts[1].pickFor(time.Second, pick.Request{Avoid: []ports.HostID{"t00"}})
		g.Release(pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, len(c.hosts[0].slots.Stale(time.Now())), 0, "traffic makes probes needless")
	})
}

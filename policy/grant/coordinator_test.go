package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// fixture drives a coordinator directly, without a network or a clock.
type fixture struct {
	*Coordinator
	now     time.Time
	seq     map[ports.HostID]uint64
	replies map[ports.HostID]Reply
}

func newFixture(targets, slots int) *fixture {
	d := &fixture{
		Coordinator: NewCoordinator(blackboard.ServiceKey{Workspace: "w", Service: "s"}, rand.New(rand.NewPCG(1, 1))),
		now:         time.Unix(1000, 0),
		seq:         make(map[ports.HostID]uint64),
		replies:     make(map[ports.HostID]Reply),
	}
	d.Configure(&declare.Service{Slots: slots, ColdStart: 0})
	d.list(targets, -1)
	return d
}

// list sets this many targets, of which one may be leaving.
func (d *fixture) list(targets, leaving int) {
	list := make([]blackboard.Target, targets)
	for i := range list {
		list[i] = blackboard.Target{ID: targetID(i), Leaving: i == leaving}
	}
	d.SetTargets(d.now, list)
}

func targetID(i int) ports.HostID { return ports.HostID(fmt.Sprintf("t%03d", i)) }

// send delivers a frame and returns the reply to its host; flush collects the replies to all
// hosts, which include grants that the frame made possible.
func (d *fixture) send(h ports.HostID, f Frame) Reply {
	d.seq[h]++
	f.Epoch, f.Seq = 1, d.seq[h]
	f.Full = f.Full || f.Seq == 1
	d.Receive(d.now, h, f)
	return d.flush(h)
}

func (d *fixture) flush(h ports.HostID) Reply {
	d.replies = make(map[ports.HostID]Reply)
	d.Flush(d.now, func(to ports.HostID, t Reply) {
		t.Grants = append([]Grant(nil), t.Grants...)
		t.Refusals = append([]Refusal(nil), t.Refusals...)
		d.replies[to] = t
	})
	return d.replies[h]
}

func (d *fixture) request(h ports.HostID, a Request) Reply {
	return d.send(h, Frame{Requests: []Request{a}})
}

func (d *fixture) finish(h ports.HostID, id AttemptID, class pick.Class) Reply {
	return d.send(h, Frame{Completions: []Completion{{ID: id, Class: class, Latency: 5 * time.Millisecond, Load: -1}}})
}

// warm makes the coordinator observe a service time of 5 ms.
func (d *fixture) warm() {
	for i := range 2 * minSamples {
		id := AttemptID(1_000_000 + i)
		d.request("warm", Request{ID: id})
		d.now = d.now.Add(5 * time.Millisecond)
		d.finish("warm", id, pick.OK)
	}
}

// A suspect request must run alone. While both targets are busy it waits and one target gets no
// more attempts, so that other calls can not delay it forever. While it runs, its target gets
// nothing else.
func TestExclusiveRequestReservesATarget(t *testing.T) {
	d := newFixture(2, 2)
	d.request("a", Request{ID: 1})
	d.request("a", Request{ID: 2})
	assert.Equal(t, len(d.request("b", Request{ID: 1, Exclusive: true}).Grants), 0)
	for id := AttemptID(3); id < 12; id++ {
		d.request("a", Request{ID: id})
	}
	target := d.reserved
	assert.Equal(t, target.inFlight(), 1)
	d.finish("a", target.attempts[0].id, pick.OK)
	assert.Equal(t, d.replies["b"].Grants[0].Target, target.id)
	for id := AttemptID(20); id < 30; id++ {
		for _, g := range d.request("a", Request{ID: id}).Grants {
			assert.Check(t, g.Target != target.id)
		}
	}
	assert.Equal(t, target.inFlight(), 1)
}

func TestHedgeIsRefusedWithoutAFreeSlot(t *testing.T) {
	d := newFixture(2, 1)
	first := d.request("a", Request{ID: 1}).Grants[0].Target
	second := d.request("a", Request{ID: 2, Hedge: true, Avoid: []ports.HostID{first}}).Grants[0].Target
	assert.Check(t, second != first)
	reply := d.request("a", Request{ID: 3, Hedge: true})
	assert.Equal(t, len(reply.Refusals), 1)
	assert.Equal(t, reply.Refusals[0].Reason, outcome.ReasonQueueFull)
}

func TestAvoidedTargetIsTakenOnlyIfThereIsNoOther(t *testing.T) {
	d := newFixture(2, 4)
	for id := AttemptID(1); id < 4; id++ {
		assert.Equal(t, d.request("a", Request{ID: id, Avoid: []ports.HostID{targetID(0)}}).Grants[0].Target, targetID(1))
	}
	d.list(2, 1)
	assert.Equal(t, d.request("a", Request{ID: 9, Avoid: []ports.HostID{targetID(0)}}).Grants[0].Target, targetID(0))
}

func TestLeavingTargetGetsNoMoreAttempts(t *testing.T) {
	d := newFixture(2, 4)
	g := d.request("a", Request{ID: 1}).Grants[0]
	d.send("a", Frame{Completions: []Completion{{ID: 1, Class: pick.OK, Latency: time.Millisecond, Load: -1, Leaving: true}}})
	for id := AttemptID(2); id < 6; id++ {
		assert.Check(t, d.request("b", Request{ID: id}).Grants[0].Target != g.Target)
	}
}

// Six of ten targets fail every call immediately, as after a bad release. The cap on ejections
// keeps most of them in use, because otherwise the few that still work would get all the load.
func TestEjectionHasACap(t *testing.T) {
	d := newFixture(10, 2)
	d.warm()
	for id := AttemptID(1); id < 400; id++ {
		for _, g := range d.request("a", Request{ID: id}).Grants {
			class := pick.OK
			if g.Target < targetID(6) {
				class = pick.Failed
			}
			d.finish("a", g.ID, class)
		}
		d.now = d.now.Add(time.Millisecond / 2)
	}
	assert.Equal(t, d.CountEjected(d.now), 3)
}

// A release message is lost, which would occupy its slot forever. The next full frame of the host
// does not list the attempt and so frees the slot.
func TestFullFrameFreesSlotsOfLostReleases(t *testing.T) {
	d := newFixture(1, 4)
	d.request("a", Request{ID: 1})
	d.request("a", Request{ID: 2})
	d.now = d.now.Add(HeartbeatInterval)
	d.send("a", Frame{Full: true, InFlight: []OpenAttempt{{ID: 2, Target: targetID(0), Age: HeartbeatInterval}}})
	assert.Equal(t, d.InFlight(), 1)
}

// A host that crashes sends nothing more, and its attempts expire. A restart of a host ends the
// attempts of its earlier run as well.
func TestGrantsExpireWithTheirHost(t *testing.T) {
	d := newFixture(1, 4)
	d.request("a", Request{ID: 1})
	d.request("b", Request{ID: 1})
	d.now = d.now.Add(hostTimeout / 2)
	d.send("b", Frame{})
	d.now = d.now.Add(hostTimeout/2 + time.Millisecond)
	d.Tick(d.now)
	assert.Equal(t, d.InFlight(), 1)
	d.Receive(d.now, "b", Frame{Epoch: 2, Seq: 1, Full: true})
	assert.Equal(t, d.InFlight(), 0)
}

func TestUnknownHostIsAskedForAFullFrame(t *testing.T) {
	d := newFixture(1, 4)
	d.Receive(d.now, "a", Frame{Epoch: 1, Seq: 7, Requests: []Request{{ID: 3}}})
	reply := d.flush("a")
	assert.Equal(t, len(reply.Grants), 1)
	assert.Check(t, reply.Resync)
}

// The coordinator's target list is stale and empty while the requesting host knows some targets.
// It must decline, so that the host chooses itself, and must not refuse.
func TestCoordinatorWithoutTargetsDeclines(t *testing.T) {
	d := newFixture(0, 1)
	reply := d.request("a", Request{ID: 1})
	assert.Check(t, reply.Decline)
	assert.Equal(t, len(reply.Refusals), 0)
}

// One host requests far more than its share. Its own requests wait; a request of another host is
// served soon although it came last.
func TestFloodOfOneHostDelaysOnlyItself(t *testing.T) {
	d := newFixture(2, 1)
	d.warm()
	for id := AttemptID(1); id <= 200; id++ {
		d.request("flood", Request{ID: id})
	}
	d.request("calm", Request{ID: 1})
	served := 0
	for served < 200 && len(d.replies["calm"].Grants) == 0 {
		for _, c := range d.attemptsOf(d.byHost["flood"])[:1] {
			d.finish("flood", c.id, pick.OK)
			served++
			d.now = d.now.Add(time.Millisecond)
		}
	}
	assert.Check(t, served < 40, "%d requests of the flooding host were served first", served)
}

func TestColdTargetGetsAGrowingShare(t *testing.T) {
	d := newFixture(4, 2)
	d.warm()
	d.Configure(&declare.Service{Slots: 2, ColdStart: time.Second})
	list := make([]blackboard.Target, 5)
	for i := range list {
		list[i] = blackboard.Target{ID: targetID(i), FirstSeen: d.now.Add(-time.Hour)}
	}
	list[4].FirstSeen = d.now
	d.SetTargets(d.now, list)
	got := [2]int{}
	for i := range 2000 {
		id := AttemptID(i + 1)
		for _, g := range d.request("a", Request{ID: id}).Grants {
			if g.Target == targetID(4) {
				got[i/1000]++
			}
		}
		d.now = d.now.Add(time.Millisecond / 2)
		if i >= 8 {
			d.finish("a", id-8, pick.OK)
		}
	}
	assert.Check(t, got[0] > 0 && got[0] < got[1], "%v", got)
}

func benchFixture() (*fixture, *host) {
	d := newFixture(100, 2)
	d.warm()
	for id := AttemptID(1); id <= 100; id++ {
		d.request("warm", Request{ID: id})
	}
	d.flush("warm")
	return d, d.byHost["warm"]
}

func BenchmarkChoice(b *testing.B) {
	d, h := benchFixture()
	a := &Request{ID: 5000}
	b.ReportAllocs()
	for b.Loop() {
		d.pickTarget(d.now, h, a)
	}
}

func BenchmarkChoiceWithAccounting(b *testing.B) {
	d, h := benchFixture()
	a := &Request{ID: 5000}
	b.ReportAllocs()
	for b.Loop() {
		t := d.pickTarget(d.now, h, a)
		d.release(d.now, d.addAttempt(h, a.ID, t, d.now, false))
	}
}

func TestChoiceAllocatesNothing(t *testing.T) {
	d := newFixture(100, 2)
	d.warm()
	h := d.byHost["warm"]
	a := &Request{ID: 5000}
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		d.release(d.now, d.addAttempt(h, a.ID, d.pickTarget(d.now, h, a), d.now, false))
	}), 0.0)
}

// A suspect request waits for an idle target, which takes as long as the calls on it. Requests
// behind it, of the same host, must not wait for it.
func TestWaitingExclusiveRequestBlocksNoOther(t *testing.T) {
	d := newFixture(2, 2)
	d.request("a", Request{ID: 1})
	d.request("a", Request{ID: 2})
	assert.Equal(t, len(d.request("a", Request{ID: 3, Exclusive: true}).Grants), 0)
	assert.Equal(t, len(d.request("a", Request{ID: 4}).Grants), 1)
	d.finish("a", 4, pick.OK)
	assert.Equal(t, len(d.request("a", Request{ID: 5}).Grants), 1)
}

// Two of five targets are down and refuse connections, too many for both to be ejected, and
// always look idle. They may cost a caller another attempt only occasionally, not with every
// call.
func TestTargetsThatAreDownAreTriedSeldom(t *testing.T) {
	d := newFixture(5, 2)
	d.warm()
	refused := 0
	for id := AttemptID(1); id <= 1000; id++ {
		a := Request{ID: id, Exclusive: id%10 == 0}
		g := d.request("a", a).Grants[0]
		d.now = d.now.Add(time.Millisecond)
		if g.Target <= targetID(1) {
			refused++
			d.finish("a", id, pick.NotSent)
			continue
		}
		d.finish("a", id, pick.OK)
	}
	assert.Check(t, refused <= 12, "%d of 1000 attempts were refused", refused)
}

// Guards against targets that are held back for all hosts because one host has no path to them.
func TestFailuresOfPathsHoldNoTargetBack(t *testing.T) {
	d := newFixture(3, 2)
	d.warm()
	at := make(map[ports.HostID]int)
	for id := AttemptID(1); id <= 300; id++ {
		g := d.request("a", Request{ID: id}).Grants
		assert.Assert(t, len(g) == 1, "attempt %d", id)
		at[g[0].Target]++
		d.now = d.now.Add(time.Millisecond)
		d.finish("a", id, pick.NoPath)
	}
	for target, n := range at {
		assert.Check(t, n >= 50, "%s got %d of 300", target, n)
	}
	assert.Equal(t, len(at), 3)
}

// Calls arrive one after the other, so every target is idle when the next one arrives. A target
// whose response to one is overdue gets no calls for as long as that response took, and its usual
// share after that.
func TestOverdueResponsePenalizesItsTarget(t *testing.T) {
	d := newFixture(2, 2)
	d.warm()
	next := AttemptID(1000)
	call := func(took time.Duration) ports.HostID {
		next++
		at := d.request("h1", Request{ID: next}).Grants[0].Target
		d.now = d.now.Add(took)
		d.send("h1", Frame{Completions: []Completion{{ID: next, Class: pick.OK, Latency: took, Load: -1}}})
		return at
	}
	slow := call(time.Second)
	for range 10 {
		assert.Check(t, call(time.Millisecond) != slow)
	}
	d.now = d.now.Add(time.Second)
	again := 0
	for range 10 {
		if call(time.Millisecond) == slow {
			again++
		}
	}
	assert.Check(t, again > 0)
}

package session

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
)

const epoch = 7

var noon = time.Unix(1000, 0)

func newSession(maxQueue int) *Session {
	s := New(blackboard.ServiceKey{Workspace: "w", Service: "s"}, epoch, rand.New(rand.NewPCG(1, 1)))
	s.Configure(&declare.Service{Slots: 1, MaxQueue: maxQueue})
	s.SetTargets(noon, []blackboard.Target{{ID: "t0"}, {ID: "t1"}})
	s.SetCoordinator(noon, "h0", true)
	s.TakeOutput()
	return s
}

func (s *Session) ask(now time.Time) grant.AttemptID { return s.Request(now, pick.Request{}, time.Time{}) }

func TestHostAsksOnceAndWaits(t *testing.T) {
	s := newSession(0)
	id := s.ask(noon)
	out := s.TakeOutput()
	assert.Equal(t, string(out.To), "h0")
	assert.Equal(t, out.Frame.Requests[0].ID, id)
	assert.Equal(t, len(out.Decisions), 0)
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t1"}}})
	d := s.TakeOutput().Decisions[0]
	assert.Equal(t, string(d.Target.ID), "t1")
	assert.Check(t, !d.Local)
}

// The coordinator is gone. The first ask waits out the patience; the host then
// chooses alone, and knocks again at growing intervals, not with every call.
func TestSilentCoordinatorIsTriedLessAndLess(t *testing.T) {
	s := newSession(0)
	s.ask(noon)
	s.TakeOutput()
	knocks := 0
	decided := time.Duration(0)
	for d := time.Duration(0); d < 2*time.Second; d += TickInterval {
		s.Tick(noon.Add(d))
		out := s.TakeOutput()
		if out.To != "" {
			knocks++
		}
		if len(out.Decisions) > 0 && decided == 0 {
			decided = d
		}
	}
	assert.Equal(t, decided, patience)
	assert.Check(t, knocks >= 5 && knocks <= 12, "%d knocks in two seconds", knocks)
}

func TestGrantNobodyWaitsForGoesBack(t *testing.T) {
	s := newSession(0)
	id := s.ask(noon)
	s.Cancel(noon, id)
	s.TakeOutput()
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t0"}}})
	out := s.TakeOutput()
	assert.Equal(t, out.Frame.Completions[0].ID, id)
	assert.Equal(t, out.Frame.Completions[0].Class, grant.Unused)
}

func TestWordOfAFormerCoordinatorCountsForNothing(t *testing.T) {
	s := newSession(0)
	id := s.ask(noon)
	s.SetCoordinator(noon, "h1", true)
	out := s.TakeOutput()
	assert.Equal(t, string(out.To), "h1")
	assert.Check(t, out.Frame.Full)
	assert.Equal(t, out.Frame.Requests[0].ID, id, "the new one learns of the ask")
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t0"}}})
	assert.Equal(t, len(s.TakeOutput().Decisions), 0)
}

func TestDeclineAndHopelessAsksAreSettledAtOnce(t *testing.T) {
	s := newSession(2)
	s.ask(noon)
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Decline: true})
	assert.Check(t, s.TakeOutput().Decisions[0].Local)
	s.Request(noon, pick.Request{}, noon.Add(-time.Second))
	assert.Equal(t, s.TakeOutput().Decisions[0].Reason, outcome.ReasonDeadline)
	for range 3 { // one more takes the last slot, two wait
		s.ask(noon)
	}
	s.TakeOutput()
	s.ask(noon)
	assert.Equal(t, s.TakeOutput().Decisions[0].Reason, outcome.ReasonQueueFull)
}

// The coordinator's list lags: it knows only a target that this host knows to
// be leaving, and would grant it for ever. The host asks once more, then uses
// the target that it knows itself.
func TestHostDoesNotGoRoundWithALaggingCoordinator(t *testing.T) {
	s := newSession(0)
	s.SetTargets(noon, []blackboard.Target{{ID: "t0", Leaving: true}, {ID: "t1"}})
	id := s.ask(noon)
	s.TakeOutput()
	tell := grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t0"}}}
	s.HandleReply(noon, "h0", tell)
	out := s.TakeOutput()
	assert.Equal(t, len(out.Decisions), 0)
	assert.Equal(t, out.Frame.Requests[0].ID, id)
	s.HandleReply(noon, "h0", tell)
	d := s.TakeOutput().Decisions
	assert.Equal(t, len(d), 1)
	assert.Equal(t, string(d[0].Target.ID), "t1")
}

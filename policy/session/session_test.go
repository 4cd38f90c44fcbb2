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

func (s *Session) request(now time.Time) grant.AttemptID {
	return s.Submit(now, pick.Request{}, time.Time{})
}

func TestHostRequestsOnceAndWaits(t *testing.T) {
	s := newSession(0)
	id := s.request(noon)
	out := s.TakeOutput()
	assert.Equal(t, string(out.To), "h0")
	assert.Equal(t, out.Frame.Requests[0].ID, id)
	assert.Equal(t, len(out.Decisions), 0)
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t1"}}})
	d := s.TakeOutput().Decisions[0]
	assert.Equal(t, string(d.Target.ID), "t1")
	assert.Check(t, !d.Local)
}

// The coordinator has crashed. The first request waits for the reply timeout; then the host
// chooses locally and retries the coordinator at growing intervals, not with every call.
func TestUnresponsiveCoordinatorIsRetriedWithBackoff(t *testing.T) {
	s := newSession(0)
	s.request(noon)
	s.TakeOutput()
	retries := 0
	decided := time.Duration(0)
	for d := time.Duration(0); d < 2*time.Second; d += TickInterval {
		s.Tick(noon.Add(d))
		out := s.TakeOutput()
		if out.To != "" {
			retries++
		}
		if len(out.Decisions) > 0 && decided == 0 {
			decided = d
		}
	}
	assert.Equal(t, decided, replyTimeout)
	assert.Check(t, retries >= 5 && retries <= 12, "%d retries in two seconds", retries)
}

func TestUnwantedGrantIsReturned(t *testing.T) {
	s := newSession(0)
	id := s.request(noon)
	s.Cancel(noon, id)
	s.TakeOutput()
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t0"}}})
	out := s.TakeOutput()
	assert.Equal(t, out.Frame.Completions[0].ID, id)
	assert.Equal(t, out.Frame.Completions[0].Class, grant.Unused)
}

func TestReplyOfAFormerCoordinatorIsIgnored(t *testing.T) {
	s := newSession(0)
	id := s.request(noon)
	s.SetCoordinator(noon, "h1", true)
	out := s.TakeOutput()
	assert.Equal(t, string(out.To), "h1")
	assert.Check(t, out.Frame.Full)
	assert.Equal(t, out.Frame.Requests[0].ID, id, "the new coordinator learns of the request")
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Grants: []grant.Grant{{ID: id, Target: "t0"}}})
	assert.Equal(t, len(s.TakeOutput().Decisions), 0)
}

func TestDeclineAndHopelessRequestsAreDecidedAtOnce(t *testing.T) {
	s := newSession(2)
	s.request(noon)
	s.HandleReply(noon, "h0", grant.Reply{Epoch: epoch, Decline: true})
	assert.Check(t, s.TakeOutput().Decisions[0].Local)
	s.Submit(noon, pick.Request{}, noon.Add(-time.Second))
	assert.Equal(t, s.TakeOutput().Decisions[0].Reason, outcome.ReasonDeadline)
	for range 3 { // one takes the last slot, two wait
		s.request(noon)
	}
	s.TakeOutput()
	s.request(noon)
	assert.Equal(t, s.TakeOutput().Decisions[0].Reason, outcome.ReasonQueueFull)
}

// The coordinator's list is stale: it knows only a target that this host knows to be leaving, and
// would grant it again and again. The host repeats the request once and then uses the target that
// it knows itself.
func TestNoRequestLoopWithAStaleCoordinator(t *testing.T) {
	s := newSession(0)
	s.SetTargets(noon, []blackboard.Target{{ID: "t0", Leaving: true}, {ID: "t1"}})
	id := s.request(noon)
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

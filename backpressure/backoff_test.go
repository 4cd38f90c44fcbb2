package backpressure

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Guards against attempts of any kind at a backed-off target, and against refusals whose
// Retry-After is not the end of the first pause.
func TestBackedOffTargetsAreNotPicked(t *testing.T) {
	withFleet(t, 2, 2, 0, func(fl *fleet) {
		p, other := fl.hosts[0].picker, fl.hosts[1].picker
		p.HandleSignals(service, fl.targets[0], targetapi.Signals{RetryAfter: 3 * time.Second})
		p.HandleSignals(service, fl.targets[0], targetapi.Signals{})                                   // response to an earlier request
		p.HandleSignals(service, fl.targets[0], targetapi.Signals{RetryAfter: 100 * time.Millisecond}) // a shorter pause
		for _, req := range []pick.Request{{}, {Hedge: true}, {Exclusive: true}} {
			req.Service = service
			for range 20 {
				g, _ := p.Pick(t.Context(), req)
				assert.Equal(t, g.Target().ID, fl.targets[1].ID)
			}
		}
		assert.Check(t, !other.BackedOff(service, fl.targets[0]), "a pause applies only to the host that was asked for it")

		time.Sleep(time.Second)
		p.HandleSignals(service, fl.targets[1], targetapi.Signals{RetryAfter: 3 * time.Second})
		_, refusal := p.Pick(t.Context(), pick.Request{Service: service})
		assert.Equal(t, refusal.Reason, outcome.ReasonTargetRest)
		assert.Equal(t, refusal.RetryAfter, 2*time.Second)

		time.Sleep(2 * time.Second)
		g, _ := p.Pick(t.Context(), pick.Request{Service: service})
		assert.Equal(t, g.Target().ID, fl.targets[0].ID)
	})
}

// Guards against carrying the pause of a former run over to the next.
func TestNextRunOfATargetHasNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := blackboard.New()
		defer board.Close()
		run := func(i ports.Incarnation) blackboard.Target {
			tg := blackboard.Target{ID: "t", Incarnation: i}
			board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{service: {tg}}})
			return tg
		}
		r := newBackoffs(board)
		first := run(1)
		assert.Check(t, r.add(service, first, time.Minute))
		assert.Check(t, !r.add(service, first, time.Second), "the pause is already in force")
		assert.Check(t, r.has(service, first))
		next := run(2)
		assert.Check(t, !r.has(service, next))
		ids, _ := r.of(service)
		assert.Equal(t, len(ids), 0)
	})
}

// Guards against granting a target that reported that it is leaving, when the wrapped picker
// does not know.
func TestGrantsForLeavingTargetsAreGivenBack(t *testing.T) {
	withFleet(t, 1, 2, 0, func(fl *fleet) {
		p := fl.hosts[0].picker
		p.HandleSignals(service, fl.targets[0], targetapi.Signals{Leaving: true})
		p.HandleSignals(service, fl.targets[0], targetapi.Signals{})
		for range 50 {
			g, _ := p.Pick(t.Context(), pick.Request{Service: service})
			assert.Equal(t, g.Target().ID, fl.targets[1].ID)
		}
		p.HandleSignals(service, fl.targets[1], targetapi.Signals{Leaving: true})
		g, refusal := p.Pick(t.Context(), pick.Request{Service: service})
		assert.Check(t, g == nil)
		assert.Equal(t, refusal.Reason, outcome.ReasonNoTarget)
	})
}

package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/placement"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// placerOfBusyTargets returns a placer for three targets that each run a number of calls.
func placerOfBusyTargets(t *testing.T, running int) (*Placer, blackboard.ServiceKey) {
	board := blackboard.New()
	t.Cleanup(func() { _ = board.Close() })
	key := blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}
	targets := make(simTargetsByID)
	list := &blackboard.Targets{ByService: make(map[blackboard.ServiceKey][]blackboard.Target)}
	for i := range 3 {
		id := ports.HostID(fmt.Sprintf("t%d", i))
		targets[id] = &simTarget{running: running}
		list.ByService[key] = append(list.ByService[key], blackboard.Target{ID: id, Slots: simSlots})
	}
	board.Targets.Store(list)
	rng := rand.New(rand.NewPCG(1, 1))
	board.Routes.Store(routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "s", HealthPath: "/h", MaxConns: 100}}}, rng))
	return New(Deps{
		Board: board, Upstream: targets, Probes: NewProbeQuota(board, 1000), Metrics: metrics.New(), Log: zap.NewNop(),
		Contract: &targetapi.Contract{Load: "Load", ReadLoad: readSimLoad},
	}), key
}

// A call beyond its share would take the slot that calls within theirs wait for: it must leave one
// free, must not queue, and must be refused at once instead of waiting. Other calls are granted as
// ever.
func TestSpareCallsLeaveRoom(t *testing.T) {
	for running, want := range []struct{ plain, spare, leaving bool }{
		0: {true, true, true}, 2: {true, true, true}, 3: {true, true, false}, 4: {true, false, false},
	} {
		if running == 1 {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			p, key := placerOfBusyTargets(t, running)
			granted := func(req pick.Request) bool {
				req.Service = key
				start := time.Now()
				g, refusal := p.Pick(t.Context(), req)
				if g != nil {
					g.Release(pick.Report{Class: pick.Canceled, Load: -1})
					return true
				}
				assert.Equal(t, refusal.Reason, outcome.ReasonOverload)
				assert.Check(t, refusal.NoSlot)
				assert.Check(t, time.Since(start) < placement.WaitInterval, "it waited")
				return false
			}
			assert.Equal(t, granted(pick.Request{}), want.plain, "%d running", running)
			assert.Equal(t, granted(pick.Request{Spare: true}), want.spare, "%d running", running)
			assert.Equal(t, granted(pick.Request{Spare: true, LeaveSlot: true}), want.leaving, "%d running", running)
		})
	}
}

package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/routing"
)

// After all hosts restart, the calls of waiting callers must be placed by probes. The quota
// therefore starts with one second's worth of probes, and no more.
func TestProbeQuotaStartsFull(t *testing.T) {
	board := blackboard.New()
	defer board.Close()
	key := blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}
	board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{key: make([]blackboard.Target, 5)}})
	s := NewProbeQuota(board, 10)
	s.Update()
	now := time.Now()
	assert.Equal(t, s.Remaining(now), 1.0)
	taken := 0
	for s.Take(now) && taken < 1000 {
		taken++
	}
	assert.Equal(t, taken, int(10*5*budgetFraction))
	assert.Equal(t, s.Remaining(now), 0.0)
	assert.Check(t, s.Take(now.Add(time.Second)))
}

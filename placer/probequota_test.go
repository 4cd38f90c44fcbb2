package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/routing"
)

// All hosts have just started, and callers that waited for them come at once. Their calls
// are placed by probes and not by guesses: the share begins with a second's probes,
// and with no more than these.
func TestShareBeginsFull(t *testing.T) {
	board := blackboard.New()
	defer board.Close()
	key := blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}
	board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{key: make([]blackboard.Target, 5)}})
	s := NewProbeQuota(board, 10)
	s.Update()
	now := time.Now()
	assert.Equal(t, s.Left(now), 1.0)
	taken := 0
	for s.Take(now) && taken < 1000 {
		taken++
	}
	assert.Equal(t, taken, int(10*5*quotaUsed))
	assert.Equal(t, s.Left(now), 0.0)
	assert.Check(t, s.Take(now.Add(time.Second)))
}

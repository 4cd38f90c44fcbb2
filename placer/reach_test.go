package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against a host that reaches none of a service's targets and whose log doesn't say so.
func TestLossOfAllTargetsOfAServiceIsNoted(t *testing.T) {
	begin := time.Unix(1000, 0)
	a, b := new(target), new(target)
	s := &service{targets: map[ports.HostID]*target{"a": a, "b": b}}
	assert.Assert(t, a.markUnreachable(begin))
	assert.Equal(t, s.noteReach(begin, msgUnreachable), reachChange{})
	b.markUnreachable(begin)
	assert.Equal(t, s.noteReach(begin, msgUnreachable), reachChange{message: msgNoneReached, targets: 2})
	assert.Equal(t, s.noteReach(begin, msgUnreachable), reachChange{}, "once for each loss")
	a.markReachable()
	again := reachChange{message: msgAnyReached, targets: 2, after: time.Second}
	assert.Equal(t, s.noteReach(begin.Add(time.Second), msgReachable), again)
}

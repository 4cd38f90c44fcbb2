package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Guards against a service that is limited further and further because its targets turn away a part of
// whatever they get, with slots free.
func TestOnlyFullTargetsThatTurnRequestsAwayLackRoom(t *testing.T) {
	for _, c := range []struct {
		name       string
		load       targetapi.Load
		unreported bool
		want       float64
	}{
		{"free slots", targetapi.Load{Running: 1, Slots: 3}, false, 0},
		{"no report with the refusal", targetapi.Load{}, false, 0},
		{"full", targetapi.Load{Running: 3, Waiting: 6, Slots: 3}, false, 1},
		{"targets that report no load", targetapi.Load{}, true, 1},
	} {
		var s service
		s.recordEnd(time.Unix(1000, 0), pick.Request{}, pick.Report{Class: pick.Shed, TargetLoad: c.load}, c.unreported)
		assert.Equal(t, s.seen.NoRoom, c.want, c.name)
		assert.Equal(t, s.signAt.IsZero(), c.want == 0, c.name)
	}
}

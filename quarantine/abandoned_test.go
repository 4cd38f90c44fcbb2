package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against a request that crashes each target a moment after its caller's deadline, so that it isn't under
// way any more when the target's other connections break.
func TestRequestThatCrashesTargetsAfterItsDeadlineIsHeldBack(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		var crashes []time.Time
		late := 0
		for i := range 25 {
			target := ports.RunID(fmt.Sprintf("t%d", i))
			sender, other := c.hosts[c.ids[i%3]], c.hosts[c.ids[(i+1)%3]]
			beside, _ := other.Admit(context.Background(), suspicion.ID{Request: uint64(1000 + i)})
			beside.Started(target)
			if a, d := sender.Admit(context.Background(), suspicion.ID{Request: 7}); !d.Refuse {
				if len(crashes) > 3 && time.Since(crashes[2]) > inTouchAfter {
					late++
				}
				a.Started(target)
				time.Sleep(150 * time.Millisecond)
				a.Close() // the deadline
				time.Sleep(150 * time.Millisecond)
				beside.BrokeOff()
				crashes = append(crashes, time.Now())
			}
			beside.Close()
			time.Sleep(time.Second)
		}
		assert.Check(t, late <= maxLateRuns, "%d crashes, %d late", len(crashes), late)
	})
}

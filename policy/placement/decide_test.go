package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A call is never refused while targets of other zones were not asked, never waits where
// no answer could be in time, and takes what there is once it may not wait any more.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		cost       float64
		worthwhile bool
		next       Fallback
		want       Decision
	}{
		{1, true, ProbeOtherZones, Take},
		{1, true, NoFallback, Take},
		{1, false, ProbeOtherZones, Continue},
		{1, false, WaitForBetter, Refuse},
		{3, true, ProbeOtherZones, Continue},
		{3, true, WaitForBetter, Continue},
		{3, true, NoFallback, Take},
		{3, false, ProbeOtherZones, Continue},
		{3, false, WaitForBetter, Refuse},
		{3, false, NoFallback, Refuse},
	} {
		assert.Equal(t, Decide(c.cost, c.worthwhile, c.next), c.want, "%+v", c)
	}
}

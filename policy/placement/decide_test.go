package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A call must not be refused while targets of other zones are unprobed, must not wait where no
// response could be in time, and must take the best target once it may not wait any more.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		cost       float64
		worthwhile bool
		fallback   Fallback
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
		assert.Equal(t, Decide(c.cost, c.worthwhile, c.fallback), c.want, "%+v", c)
	}
}

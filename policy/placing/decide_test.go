package placing

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
		next       Next
		want       Decision
	}{
		{1, true, MayProbeFar, Take},
		{1, true, Last, Take},
		{1, false, MayProbeFar, GoOn},
		{1, false, MayWait, Refuse},
		{3, true, MayProbeFar, GoOn},
		{3, true, MayWait, GoOn},
		{3, true, Last, Take},
		{3, false, MayProbeFar, GoOn},
		{3, false, MayWait, Refuse},
		{3, false, Last, Refuse},
	} {
		assert.Equal(t, Decide(c.cost, c.worthwhile, c.next), c.want, "%+v", c)
	}
}

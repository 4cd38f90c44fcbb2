package instant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The monotonic clock stops while a machine is suspended, so the elapsed time has to come from
// the wall clock.
func TestElapsedUsesTheLongerOfBothClocks(t *testing.T) {
	from := time.Now()
	assert.Equal(t, Elapsed(from, from.Add(time.Second)), time.Second)
	wall := from.Add(5 * time.Second).Round(0)
	assert.Equal(t, Elapsed(from, wall), 5*time.Second, "suspended for 5 s")
}

package instant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The monotonic clock stands still while a machine is suspended: what was known before is as old
// as the wall clock has it.
func TestElapsedGoesByTheLongerClock(t *testing.T) {
	from := time.Now()
	assert.Equal(t, Elapsed(from, from.Add(time.Second)), time.Second)
	wall := from.Add(5 * time.Second).Round(0)
	assert.Equal(t, Elapsed(from, wall), 5*time.Second, "suspended for 5 s")
}

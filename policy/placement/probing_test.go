package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// With plenty of probes left a choice asks four, with few left two and never none; one
// that has waited asks the best three again.
func TestWidth(t *testing.T) {
	assert.Equal(t, ProbeCount(0, 1), 4)
	assert.Equal(t, ProbeCount(0, 0.7), 2)
	assert.Equal(t, ProbeCount(0, 0), 2)
	assert.Equal(t, ProbeCount(3, 0), 3)
}

func TestWaits(t *testing.T) {
	assert.Equal(t, MaxWaits(0), 1)
	assert.Equal(t, MaxWaits(200*time.Millisecond), 5)
	assert.Equal(t, MaxWaits(time.Minute), 6)
}

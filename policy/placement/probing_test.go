package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// With a full budget a choice probes four targets, with little left two, never none; one that has
// waited probes the best three again.
func TestProbeCount(t *testing.T) {
	assert.Equal(t, ProbeCount(0, 1), 4)
	assert.Equal(t, ProbeCount(0, 0.7), 2)
	assert.Equal(t, ProbeCount(0, 0), 2)
	assert.Equal(t, ProbeCount(3, 0), 3)
}

func TestMaxWaits(t *testing.T) {
	assert.Equal(t, MaxWaits(0), 1)
	assert.Equal(t, MaxWaits(200*time.Millisecond), 5)
	assert.Equal(t, MaxWaits(time.Minute), 6)
}

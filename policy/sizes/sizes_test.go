package sizes

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The first few responses take full effect, a single outlier later does not dominate, and unknown
// sizes are ignored.
func TestUsualSize(t *testing.T) {
	var u Estimator
	assert.Equal(t, u.Bytes(), float64(initialBytes))
	u.Observe(-1)
	assert.Equal(t, u.Bytes(), float64(initialBytes))
	for range 3 {
		u.Observe(90_000)
	}
	assert.Equal(t, u.Bytes(), 90_000.0)
	for range 100 {
		u.Observe(400)
	}
	assert.Check(t, u.Bytes() < 1000)
	u.Observe(90_000)
	assert.Check(t, u.Bytes() < 6000)
}

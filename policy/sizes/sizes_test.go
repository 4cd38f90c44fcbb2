package sizes

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The first few answers count at once, one odd answer later does not turn it over, and
// what is not known is passed over.
func TestUsualSize(t *testing.T) {
	var u Estimator
	assert.Equal(t, u.Bytes(), float64(first))
	u.Observe(-1)
	assert.Equal(t, u.Bytes(), float64(first))
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

package claims

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Checks that a short measurement makes claims at each rate. The values are not
// checked because they depend on the machine.
func TestRunMeasures(t *testing.T) {
	r, err := RunWith(context.Background(), Settings{Hosts: 3, For: 200 * time.Millisecond, CallRates: []int{100}})
	assert.NilError(t, err)
	assert.Check(t, r.ClaimsPerSecond > 0)
	assert.Check(t, r.Added[0].Calls > 0)
	assert.Check(t, r.Added[0].P99 >= r.Added[0].P50)
}

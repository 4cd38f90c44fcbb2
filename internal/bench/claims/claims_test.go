package claims

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A short measurement makes claims at each rate; its figures are not judged,
// for they hang on the machine.
func TestRunMeasures(t *testing.T) {
	r, err := RunWith(context.Background(), Settings{Hosts: 3, For: 200 * time.Millisecond, CallRates: []int{100}})
	assert.NilError(t, err)
	assert.Check(t, r.ClaimsPerSecond > 0)
	assert.Check(t, r.Added[0].Calls > 0)
	assert.Check(t, r.Added[0].P99 >= r.Added[0].P50)
}

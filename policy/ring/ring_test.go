package ring

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

func ids(n int) []ports.HostID {
	out := make([]ports.HostID, n)
	for i := range out {
		out[i] = ports.HostID(fmt.Sprintf("h%d", i))
	}
	return out
}

func TestAfterAndBeforeAgree(t *testing.T) {
	r := New(ids(20))
	for _, id := range ids(20) {
		for _, next := range r.After(id, 6) {
			assert.Check(t, slices.Contains(r.Before(next, 6), id))
		}
	}
	assert.Equal(t, len(New(ids(3)).After("h0", 6)), 2)
	assert.Equal(t, len(r.After("elsewhere", 6)), 0)
	assert.Equal(t, len(New(ids(1)).Fingers("h0")), 0)
}

func TestFingersReachAllInFewSteps(t *testing.T) {
	r := New(ids(150))
	reached := map[ports.HostID]bool{"h0": true}
	frontier := []ports.HostID{"h0"}
	steps := 0
	for len(reached) < 150 {
		var next []ports.HostID
		for _, id := range frontier {
			assert.Equal(t, len(r.Fingers(id)), 8)
			for _, f := range r.Fingers(id) {
				if !reached[f] {
					reached[f] = true
					next = append(next, f)
				}
			}
		}
		frontier = next
		steps++
	}
	assert.Check(t, steps <= 8, "%d steps", steps)
}

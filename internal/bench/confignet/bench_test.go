package confignet

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// times is the number of times taken for each fleet and scenario, a change on
// a host being one; the figures in docs/design/configuration.md took 1500.
var times = flag.Int("times", 450, "times to take for each fleet and scenario")

const (
	// bound is the time in which an accepted change has to be in force.
	bound = 3 * time.Second
	// repaired is the time by which lost pushes are made up for in the cases
	// measured; half of it was the worst.
	repaired = time.Second
)

// TestTimeInForce measures the fleets of the brief and prints the figures with
// -v. The bound is asserted; the time is virtual.
func TestTimeInForce(t *testing.T) {
	var reports []Report
	for _, hosts := range []int{15, 50, 150} {
		for _, scenario := range Scenarios() {
			synctest.Test(t, func(t *testing.T) {
				rep, err := Run(context.Background(), Options{Hosts: hosts, Changes: *times / hosts, Scenario: scenario, Seed: 1})
				assert.NilError(t, err)
				time.Sleep(settle) // messages on their way end in the bubble
				assert.Check(t, rep.Worst <= repaired, "%s", rep)
				t.Log(rep)
				reports = append(reports, rep)
			})
		}
	}
	t.Log("\n" + Table(reports))
}

func TestStartCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports, err := RunStart(context.Background(), 490)
		assert.NilError(t, err)
		time.Sleep(settle)
		for _, rep := range reports {
			t.Log(rep)
		}
		assert.Equal(t, reports[0].Reads, uint64(2), "head row and snapshot")
	})
}

func TestTimeUntilReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports, err := RunReady(15, 20)
		assert.NilError(t, err)
		time.Sleep(settle)
		for _, rep := range reports {
			t.Log(rep)
			assert.Check(t, rep.Worst <= bound, "%s", rep)
		}
	})
}

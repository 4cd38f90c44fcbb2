package confignet

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// samples is the number of samples per fleet and scenario; each change gives about
// one sample per host. The results in docs/design/configuration.md use 1500.
var samples = flag.Int("times", 450, "number of samples per fleet and scenario")

const (
	// maxLatency is the required limit for an accepted change to be in force and for a
	// host to be ready.
	maxLatency = 3 * time.Second
	// maxRepairTime is the limit for hosts to recover from lost pushes, about twice the
	// worst case of these scenarios.
	maxRepairTime = time.Second
)

// TestTimeInForce measures fleets of the required sizes in virtual time and checks
// the worst latency. The results are printed with -v.
func TestTimeInForce(t *testing.T) {
	var reports []Report
	for _, hosts := range []int{15, 50, 150} {
		for _, scenario := range Scenarios() {
			synctest.Test(t, func(t *testing.T) {
				rep, err := Run(context.Background(), Options{
					Hosts: hosts, Changes: *samples / hosts, Scenario: scenario, Seed: 1,
				})
				assert.NilError(t, err)
				time.Sleep(settleTime) // let messages in flight arrive inside the bubble
				assert.Check(t, rep.Worst <= maxRepairTime, "%s", rep)
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
		time.Sleep(settleTime)
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
		time.Sleep(settleTime)
		for _, rep := range reports {
			t.Log(rep)
			assert.Check(t, rep.Worst <= maxLatency, "%s", rep)
		}
	})
}

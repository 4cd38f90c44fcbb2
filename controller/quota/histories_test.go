package quota

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/routing"
)

// seeds is how many random histories are played; more by hand.
var seeds = flag.Int("seeds", 10, "random histories")

// Whatever hosts die, start anew, are cut off or come back while all tenants flood, all hosts
// together stay within the tolerance.
func TestQuotasHoldOverRandomHistories(t *testing.T) {
	for seed := range uint64(*seeds) {
		withFleet(t, 12, []routing.Tenant{large, small}, func(fl *fleet) {
			fl.t.Logf("seed %d", seed)
			fl.history(seed)
			fl.within(large)
			fl.within(small)
		})
	}
}

// The check of random histories can fail: hosts that spend parts as soon as they come to own
// them, and never find out that they are cut off, go beyond the quota.
func TestRandomHistoriesFindWhatTheHandOverGuardsAgainst(t *testing.T) {
	worst := 0
	for seed := uint64(0); seed < 40 && float64(worst) <= bound(large); seed++ {
		withFleet(t, 12, []routing.Tenant{large, small}, func(fl *fleet) {
			fl.handOver, fl.careless = 0, true
			fl.restartAll()
			fl.history(seed)
			worst = max(worst, fl.most(large.Name))
		})
	}
	assert.Check(t, float64(worst) > bound(large), "at most %d within a window", worst)
}

// history floods for half a minute in which hosts and zones come and go.
func (fl *fleet) history(seed uint64) {
	const d = 30 * time.Second
	go fl.load(rand.New(rand.NewPCG(seed, 2)), small.Name, 20, d)
	go fl.load(rand.New(rand.NewPCG(seed, 1)), large.Name, 4*large.Rate, d)
	fl.disturb(rand.New(rand.NewPCG(seed, 7)), d)
}

// disturb kills, starts, cuts off and reconnects hosts and zones at random.
func (fl *fleet) disturb(rng *rand.Rand, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(400*time.Millisecond)))
		h := fl.hosts[rng.IntN(len(fl.hosts))]
		switch rng.IntN(6) {
		case 5:
			fl.cutOff(fl.third(rng)...)
		case 0:
			fl.kill(h)
		case 1:
			fl.cutOff(h)
		case 2:
			fl.cutZone(h.zone)
		case 3:
			fl.heal()
		default:
			for _, h := range fl.hosts {
				if !h.up && rng.IntN(2) == 0 {
					fl.start(h)
				}
			}
		}
	}
}

// A zone that is cut off keeps its part, and the others keep theirs.
func TestQuotaHoldsWhileAZoneIsCutOff(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		rng := rand.New(rand.NewPCG(1, 1))
		go fl.load(rand.New(rand.NewPCG(1, 2)), small.Name, 20, 20*time.Second)
		go func() {
			time.Sleep(5 * time.Second)
			fl.cutZone("a")
			time.Sleep(8 * time.Second)
			fl.heal()
		}()
		fl.load(rng, large.Name, 4*large.Rate, 20*time.Second)
		fl.within(large)
		fl.within(small)
		assert.Check(t, float64(len(fl.granted[large.Name])) >= 0.9*20*large.Rate, "only %d granted", len(fl.granted[large.Name]))
	})
}

// A third of the hosts of all zones is cut off together, and both sides flood. Those that were cut
// off hear each other: they must not own all parts once more among themselves.
func TestQuotaHoldsWhileAThirdOfTheHostsIsCutOffTogether(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		go fl.load(rand.New(rand.NewPCG(1, 2)), small.Name, 20, 20*time.Second)
		go func() {
			time.Sleep(5 * time.Second)
			fl.cutOff(fl.third(rand.New(rand.NewPCG(3, 1)))...)
			time.Sleep(5 * time.Second)
			fl.heal()
		}()
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 6*large.Rate, 20*time.Second)
		fl.within(large)
		fl.within(small)
		assert.Check(t, float64(len(fl.granted[large.Name])) >= 0.9*20*large.Rate, "only %d granted", len(fl.granted[large.Name]))
	})
}

// Once a quota was lowered, no window that begins after it holds more than the lower one allows.
func TestLoweredQuotaBinds(t *testing.T) {
	withFleet(t, 12, []routing.Tenant{large, small}, func(fl *fleet) {
		lower := large
		lower.Rate, lower.Burst = 10, 10
		go func() {
			time.Sleep(5 * time.Second)
			fl.configure([]routing.Tenant{lower, small})
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.granted[large.Name] = nil
		}()
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 4*large.Rate, 15*time.Second)
		fl.within(lower)
	})
}
